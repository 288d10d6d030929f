#pragma once

#include "RunnerGroup.h"

#include <memory>
#include <string>

namespace wisteriadock::testing {

// Helpers of the claim tests.

inline SharedResponse answerOf(const std::string& body)
{
    return std::make_shared<HttpResponse>(HttpResponse { 200, {}, body });
}

// Drops all messages from and to this balancer.
inline RunnerGroup::Filter isolate(std::size_t index)
{
    return [index](std::size_t from, std::size_t to, const RequestMessage&) {
        return from == index || to == index ? RunnerGroup::Verdict::Drop : RunnerGroup::Verdict::Deliver;
    };
}

}
