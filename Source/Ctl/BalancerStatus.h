#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// What a balancer says of itself at /status.
struct BalancerStatus {
    std::string name;
    std::string availabilityZone;
    // 0 while it has no configuration.
    std::uint64_t configurationVersion = 0;
    std::string state;

    // Fails with InvalidArgument when the text is no such answer.
    static Result<BalancerStatus> parse(std::string_view json);
};

// One balancer that was asked, and its answer or why there is none.
struct StatusProbe {
    Endpoint address;
    Result<BalancerStatus> status;
};

}
