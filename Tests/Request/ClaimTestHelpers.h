#pragma once

#include "RunnerGroup.h"

#include <memory>
#include <string>

namespace wisteriadock::testing {

// What several stories about claims are told with.

inline SharedResponse answerOf(const std::string& body)
{
    return std::make_shared<HttpResponse>(HttpResponse { 200, {}, body });
}

// All messages from and to this balancer are lost.
inline RunnerGroup::Filter isolate(std::size_t index)
{
    return [index](std::size_t from, std::size_t to, const RequestMessage&) {
        return from == index || to == index ? RunnerGroup::Verdict::Drop : RunnerGroup::Verdict::Deliver;
    };
}

}
