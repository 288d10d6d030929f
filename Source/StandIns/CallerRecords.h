#pragma once

#include "StandIns/CallerFlows.h"
#include "StandIns/CallerRequests.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

// What a caller's record file holds: every break, and the tries of every request. Times are milliseconds of
// CLOCK_MONOTONIC.
nlohmann::json callerRecordsOf(const CallerFlows&, const CallerRequests&);

}
