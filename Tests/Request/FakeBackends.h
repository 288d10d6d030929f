#pragma once

#include "EventSimulator.h"

#include "Configuration/Configuration.h"
#include "Net/Http2Client.h"
#include "Request/RequestTypes.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock::testing {

// Simulated backend servers that refuse work when full, lose answers and record what they ran.
class FakeBackends {
public:
    FakeBackends(EventSimulator&, FakePartitions&, const std::vector<std::string>& zones, std::uint32_t serversPerZone);

    struct Reply {
        SharedResponse answer; // Null on failure.
        HttpFailureKind failure = HttpFailureKind::NotSent;
    };
    // Runs the work of the caller's key called name, and replies later.
    void send(const std::string& fromZone, BackendServerId, const std::string& name, TimePoint deadline,
        const std::function<void(Reply)>&);

    const Configuration& configuration() const { return configuration_; }
    double answerLossProbability = 0.02;

    // Start times of the runs of each key, in order.
    std::map<std::string, std::vector<TimePoint>> runs;

private:
    void finish(const std::string& fromZone, const BackendServer&, const std::string& name, TimePoint deadline,
        const std::function<void(Reply)>&);

    EventSimulator& simulator_;
    FakePartitions& partitions_;
    Configuration configuration_;
    std::map<BackendServerId, std::uint32_t> busy_;
};

// The body of a server's answer to this name; long enough that truncation is detected.
std::string answerBodyOf(const std::string& name);

}
