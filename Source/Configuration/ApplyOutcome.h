#pragma once

#include "Configuration/ConfigurationHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The result of an apply.
enum class ApplyStatus {
    Accepted, // The version is stored and will be put in force by all balancers; it is never reverted.
    Refused, // Nothing was applied; repeating the same apply would fail again.
    Unavailable, // Nothing was applied because the platform was not reached; the apply may be repeated.
    Unknown, // The answer to the write of the head was lost; the version may be accepted or not.
};

std::string_view nameOf(ApplyStatus);

// The reason why an apply was refused.
enum class ApplyRefusal {
    None,
    WrongBase, // The given base version is not the newest one.
    LostRace, // Another apply's version was accepted first.
    BrokenRule, // The change violates a rule of checkChange() and its flag is not set.
    ReusedApplyId, // The apply id was already used for other content.
    UnreadableBase, // The version in force can't be read, so the change can't be checked against it.
    BadStore, // The platform holds unexpected data under a key of this apply, or can't store its content.
};

std::string_view nameOf(ApplyRefusal);

// The result of an ApplyOperation and its reason, as ctl reports them.
struct ApplyOutcome {
    ApplyStatus status = ApplyStatus::Unknown;
    ApplyRefusal reason = ApplyRefusal::None;
    std::string applyId;
    // The accepted version; 0 if not accepted.
    std::uint64_t version = 0;
    // The version that the change was checked against.
    std::uint64_t baseVersion = 0;
    // Accepted without a new version because the newest one already has this content.
    bool isUnchanged = false;
    // The apply that replaced the base version first, if refused for that.
    std::optional<AppliedVersion> winner;
    // Messages for the operator; at least one if not accepted.
    std::vector<std::string> details;
};

}
