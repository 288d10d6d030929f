#pragma once

#include "Balancer/RequestProblem.h"
#include "Request/RequestTypes.h"

#include <string>

namespace wisteriadock {

// The problem to report to a caller for a refusal. A detail that is not empty replaces the default title.
RequestProblem problemOf(const Refusal&, const std::string& detail = {});

}
