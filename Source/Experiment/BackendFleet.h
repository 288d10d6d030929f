#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/FleetPlan.h"
#include "Experiment/ProcessStarter.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// What one backend server recorded so far.
struct ServerRecord {
    std::uint64_t liveFlows = 0;
    std::uint64_t newFlows = 0;
    std::uint64_t unknownFlowPackets = 0;
    std::uint64_t wrongServicePackets = 0;
    // Records that it dropped for lack of room: above 0 the run's figures are worth nothing.
    std::uint64_t droppedRecords = 0;
    // When each new flow was first seen; only if asked for.
    std::vector<TimePoint> newFlowTimes;
};

using ServerRecords = std::map<std::string, ServerRecord>;

// The process that stands in for all backend servers of a run.
class BackendFleet {
public:
    static Result<std::unique_ptr<BackendFleet>> start(ProcessStarter&, AdminClient&, const FleetPlan&);

    Endpoint flowAddress(const std::string& server) const { return process_->listening("flow " + server).value(); }
    Endpoint requestAddress(const std::string& server) const
    {
        return process_->listening("request " + server).value();
    }

    // Where the servers send their replies to flow packets.
    Result<void> setReplyAddress(const Endpoint&);
    Result<ServerRecords> records(bool withNewFlowTimes);
    // The servers' own records of every key that they ran, by name, as GET /records gives them.
    Result<nlohmann::json> requestRecords();

private:
    BackendFleet(AdminClient& client, std::unique_ptr<ChildProcess> process)
        : client_(client)
        , process_(std::move(process))
        , admin_(process_->listening("admin").value())
    {
    }

    AdminClient& client_;
    std::unique_ptr<ChildProcess> process_;
    Endpoint admin_;
};

}
