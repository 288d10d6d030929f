#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// The fields of a /status response that ctl uses.
struct BalancerStatus {
    std::string name;
    std::string availabilityZone;
    // 0 while the balancer has no configuration.
    std::uint64_t configurationVersion = 0;
    std::string state;

    // Fails with InvalidArgument unless the text is a JSON object with all four fields.
    static Result<BalancerStatus> parse(std::string_view json);
};

// The result of one /status request: the status, or the error that prevented reading it.
struct StatusProbe {
    Endpoint address;
    Result<BalancerStatus> status;
};

}
