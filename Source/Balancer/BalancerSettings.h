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

// The four addresses of one balancer.
struct BalancerAddresses {
    Endpoint flow;
    Endpoint peer;
    Endpoint request;
    Endpoint metrics;
};

// Which failures of requests are followed by another attempt.
enum class RequestPolicy {
    Default, // None that could run work twice.
    BlindRetry, // Any. Runs work twice; a baseline for experiments.
};

// The settings of one balancer process, read whole at its start (docs/operators/balancer.md).
struct BalancerSettings {
    std::string name;
    std::string availabilityZone;
    // Feeds jitter and ties; 0 derives it from the name and the time of the start.
    std::uint32_t seed = 0;

    // Where it listens. A port of 0 takes an ephemeral one.
    BalancerAddresses listen;
    // Where others reach it, if that is not where it listens; unset ones are the bound ones.
    BalancerAddresses advertise;

    Endpoint platform;
    // Peer addresses of balancers to ask first who else there is.
    std::vector<Endpoint> seeds;

    FlowSettings flow;
    unsigned packetThreads = 2;

    // Bounds on what callers can make the process hold.
    Http2Limits requestLimits;
    // The deadline of requests that name none, and the longest that a request may name.
    std::chrono::milliseconds defaultDeadline { 5000 };
    std::chrono::milliseconds maxDeadline { 600'000 };

    // Whether requests are claimed by their keys before they are sent. Off is a baseline for experiments.
    bool isAtMostOnce = true;
    RequestPolicy requestPolicy = RequestPolicy::Default;
    // The fixed list of the fleet's availability zones, equal on all balancers.
    std::vector<std::string> availabilityZones;

    // How long a planned stop goes on serving after the other balancers were told.
    std::chrono::seconds drain { 10 };
    LogLevel logLevel = LogLevel::Info;

    // Reads the text of a settings file. All problems are found in one go; the settings are only usable without any.
    static BalancerSettings parse(std::string file, std::string_view text, SettingsProblems&);
    // Reads a settings file. Fails with NotFound when it can't be read and with InvalidArgument, the detail holding all
    // problems one a line, when it is wrong.
    static Result<BalancerSettings> load(const std::string& path);
};

}
