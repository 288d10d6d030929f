#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// How many applies a head remembers, its own included. An operator whose answer was lost can find the outcome out as
// long as fewer than this many versions were accepted since.
constexpr std::size_t maxRememberedApplies = 32;
constexpr std::size_t maxAuthorLength = 63;

// One accepted apply.
struct AppliedVersion {
    std::uint64_t version = 0;
    // Chosen by the operator's ctl for one apply, so that its effect can be told from anybody else's.
    std::string applyId;
    std::string contentHash;
    // Who applied, as ctl was told; for people.
    std::string author;

    bool operator==(const AppliedVersion&) const = default;
};

// The small value whose compare-and-swap makes a version the one in force.
struct ConfigurationHead {
    AppliedVersion applied;
    // The version that the applied one was checked against and replaced.
    std::uint64_t baseVersion = 0;
    std::size_t contentBytes = 0;
    std::size_t contentParts = 1;
    // Earlier applies, newest first.
    std::vector<AppliedVersion> previousApplies;

    // The remembered apply of this id, or null.
    const AppliedVersion* findApply(std::string_view applyId) const;
    // The remembered apply that replaced the given version, or null.
    const AppliedVersion* successorOf(std::uint64_t version) const;
    // Whether every apply after the given version is remembered.
    bool remembersSince(std::uint64_t version) const;

    // The previous applies of a head that follows this one.
    std::vector<AppliedVersion> appliesForNext() const;

    std::string toJson() const;
    // Fails with InvalidArgument; the detail names what was expected.
    static Result<ConfigurationHead> parse(std::string_view json);

    bool operator==(const ConfigurationHead&) const = default;
};

}
