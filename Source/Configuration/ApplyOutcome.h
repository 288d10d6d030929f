#pragma once

#include "Configuration/ConfigurationHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// How an apply ended.
enum class ApplyStatus {
    Accepted, // The version is accepted and will be in force everywhere; it never reverts.
    Refused, // Nothing was applied, and trying the same again can't help.
    Unavailable, // Nothing was applied, since the platform was not reached; trying again may help.
    Unknown, // The answer to the deciding write is lost, and what became of it could not be found out yet.
};

std::string_view nameOf(ApplyStatus);

// Why an apply was refused.
enum class ApplyRefusal {
    None,
    WrongBase, // The given base version is not the newest one.
    LostRace, // Somebody else's version was accepted first.
    BrokenRule, // The change breaks a rule that no flag allows.
    ReusedApplyId, // The apply id names another content already.
    UnreadableBase, // The version in force can't be read, so the change can't be checked against it.
    BadStore, // The platform holds something else under one of our keys, or can't hold ours.
};

std::string_view nameOf(ApplyRefusal);

struct ApplyOutcome {
    ApplyStatus status = ApplyStatus::Unknown;
    ApplyRefusal reason = ApplyRefusal::None;
    std::string applyId;
    // The accepted version; 0 unless accepted.
    std::uint64_t version = 0;
    // The version that the file was checked against.
    std::uint64_t baseVersion = 0;
    // Accepted without a new version: the newest one has this content already.
    bool isUnchanged = false;
    // Who won: the apply that replaced the base version.
    std::optional<AppliedVersion> winner;
    // Sentences for people, at least one unless accepted.
    std::vector<std::string> details;
};

}
