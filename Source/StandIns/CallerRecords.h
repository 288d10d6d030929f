#pragma once

#include "StandIns/CallerFlows.h"
#include "StandIns/CallerRequests.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

// The JSON content of the caller's record file: the broken flows, and the ended requests with their attempts. Times are
// milliseconds of CLOCK_MONOTONIC.
nlohmann::json callerRecordsOf(const CallerFlows&, const CallerRequests&);

}
