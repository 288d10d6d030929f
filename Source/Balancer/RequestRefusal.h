#pragma once

#include "Balancer/RequestProblem.h"
#include "Request/RequestTypes.h"

#include <string>

namespace wisteriadock {

// What a caller is told of a refusal. The detail, if there is any, takes the place of the usual sentence.
RequestProblem problemOf(const Refusal&, const std::string& detail = {});

}
