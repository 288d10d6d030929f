#pragma once

#include "KeyValue/PlatformCall.h"
#include "KeyValue/PlatformJson.h"

#include <array>
#include <optional>

namespace wisteriadock {

// How the stand-in fails calls during a simulated outage. None of these calls is executed.
enum class OutageMode {
    Up, // No outage.
    Unavailable, // Response 503 with "executed": "no".
    Refuse, // Stream reset with REFUSED_STREAM: the caller knows that the call was not executed.
    Reset, // Stream reset with INTERNAL_ERROR: the caller can't know whether the call was executed.
};

std::string_view nameOf(OutageMode);

// The faults that PlatformStandIn simulates now, and counters of the affected calls.
struct PlatformFaults {
    OutageMode outage = OutageMode::Up;
    // Delay before each call is executed. A write is executed even when its caller has cancelled it by then.
    std::chrono::milliseconds callDelay { 0 };
    // The number of next successful calls of each kind that are executed but whose stream is reset instead of answered.
    std::array<std::uint64_t, platformCallKinds> loseAnswers {};

    std::uint64_t callsFailed = 0;
    std::uint64_t answersLost = 0;

    // Whether the answer to this call is to be lost. If so, decrements loseAnswers and increments answersLost.
    bool consumeLostAnswer(PlatformCall);

    Json toJson() const;
    // Changes only the faults that are members of the object. Changes none on an error.
    Result<void> change(const Json&);
};

}
