#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/FleetPlan.h"
#include "Experiment/ProcessStarter.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// The counters of one backend server since the run began.
struct ServerRecord {
    std::uint64_t liveFlows = 0;
    std::uint64_t newFlows = 0;
    std::uint64_t unknownFlowPackets = 0;
    std::uint64_t wrongServicePackets = 0;
    // Records dropped because the server's memory for them was full. Above 0, the results of the run are invalid.
    std::uint64_t droppedRecords = 0;
    // When the first packet of each new flow arrived. Empty unless requested.
    std::vector<TimePoint> newFlowTimes;
};

using ServerRecords = std::map<std::string, ServerRecord>;

// Starts and queries the one process that simulates all backend servers of a run.
class BackendFleet {
public:
    static Result<std::unique_ptr<BackendFleet>> start(ProcessStarter&, AdminClient&, const FleetPlan&);

    Endpoint flowAddress(const std::string& server) const { return process_->listening("flow " + server).value(); }
    Endpoint requestAddress(const std::string& server) const
    {
        return process_->listening("request " + server).value();
    }

    // Sets the address to which the servers send their replies to flow packets.
    Result<void> setReplyAddress(const Endpoint&);
    Result<ServerRecords> records(bool withNewFlowTimes);
    // Returns the record of every request key that each server executed, by server name, as GET /records returns it.
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
