#pragma once

#include "KeyValue/PlatformCall.h"
#include "KeyValue/PlatformJson.h"

#include <array>
#include <optional>

namespace wisteriadock {

// How the stand-in treats calls while it plays an outage. It acts on none of them.
enum class OutageMode {
    Up, // No outage.
    Unavailable, // Answered 503 with "executed": "no".
    Refuse, // Stream reset with REFUSED_STREAM: the caller knows that nothing was done.
    Reset, // Stream reset with INTERNAL_ERROR: the caller cannot know.
};

std::string_view nameOf(OutageMode);

// The faults that the stand-in plays now, and how often they struck.
struct PlatformFaults {
    OutageMode outage = OutageMode::Up;
    // A call waits this long before it is acted on. A write is acted on even when its caller has given up by then.
    std::chrono::milliseconds callDelay { 0 };
    // How many of the next successful calls of each kind lose their answer after they took effect (stream reset).
    std::array<std::uint64_t, platformCallKinds> loseAnswers {};

    std::uint64_t callsFailed = 0;
    std::uint64_t answersLost = 0;

    // Whether the answer to this call is one to lose; counts it if so.
    bool consumeLostAnswer(PlatformCall);

    Json toJson() const;
    // Changes the faults that the object names and leaves the others. On an error it changes none.
    Result<void> change(const Json&);
};

}
