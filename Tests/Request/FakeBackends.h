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

// Backend servers that shed when full, lose answers, and write down what they ran.
class FakeBackends {
public:
    FakeBackends(EventSimulator&, FakePartitions&, const std::vector<std::string>& zones, std::uint32_t serversPerZone);

    struct Reply {
        SharedResponse answer; // Null on failure.
        HttpFailureKind failure = HttpFailureKind::NotSent;
    };
    // Runs the work called name, which must be a caller's key, and replies later.
    void send(const std::string& fromZone, BackendServerId, const std::string& name, TimePoint deadline,
        const std::function<void(Reply)>&);

    const Configuration& configuration() const { return configuration_; }
    double lostAnswers = 0.02;

    // When each piece of work began to run, in order.
    std::map<std::string, std::vector<TimePoint>> runs;

private:
    void finish(const std::string& fromZone, const BackendServer&, const std::string& name, TimePoint deadline,
        const std::function<void(Reply)>&);

    EventSimulator& simulator_;
    FakePartitions& partitions_;
    Configuration configuration_;
    std::map<BackendServerId, std::uint32_t> busy_;
};

// The answer that a server gives to the work of this name; long enough to be cut short visibly.
std::string answerBodyOf(const std::string& name);

}
