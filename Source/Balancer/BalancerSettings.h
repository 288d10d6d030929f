#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Log.h"
#include "Flow/FlowSettings.h"
#include "Net/Http2Limits.h"
#include "Settings/SettingsProblem.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The addresses of one balancer, one for each kind of traffic.
struct BalancerAddresses {
    Endpoint flow;
    Endpoint peer;
    Endpoint request;
    Endpoint metrics;
};

// Which failed requests are sent again.
enum class RequestPolicy {
    Default, // Only those whose work has provably not run.
    BlindRetry, // All, which may run work twice. A baseline for experiments.
};

// The settings of one balancer process, read at its start (docs/operators/balancer.md).
struct BalancerSettings {
    std::string name;
    std::string availabilityZone;
    // Seed of the random numbers for jitter and tie-breaking; 0 derives it from the name and the start time.
    std::uint32_t seed = 0;

    // The addresses to listen on. Port 0 selects an ephemeral port.
    BalancerAddresses listen;
    // The addresses at which other processes reach the balancer. An unset one defaults to the bound address.
    BalancerAddresses advertise;

    Endpoint platform;
    // Peer addresses of the balancers that are contacted first to discover the fleet.
    std::vector<Endpoint> seeds;

    FlowSettings flow;
    unsigned packetThreads = 2;

    // Limits on the memory that callers can make the process use.
    Http2Limits requestLimits;
    // The deadline of requests without one, and the longest that a request may specify.
    std::chrono::milliseconds defaultDeadline { 5000 };
    std::chrono::milliseconds maxDeadline { 600'000 };

    // Whether a request's idempotency key is claimed before its work is sent. Off is a baseline for experiments.
    bool isAtMostOnce = true;
    RequestPolicy requestPolicy = RequestPolicy::Default;
    // The fleet's availability zones; must be equal on all balancers.
    std::vector<std::string> availabilityZones;

    // How long the balancer continues to serve after it has announced a planned stop.
    std::chrono::seconds drain { 10 };
    LogLevel logLevel = LogLevel::Info;

    // Parses the text of a settings file and reports all problems at once. The result is usable only if there are none.
    static BalancerSettings parse(std::string file, std::string_view text, SettingsProblems&);
    // Reads a settings file. Fails with NotFound when it can't be read, and with InvalidArgument when it is invalid;
    // the detail then lists all problems, one per line.
    static Result<BalancerSettings> load(const std::string& path);
};

}
