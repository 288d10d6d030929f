#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The number of applies that a head records, including its own. The outcome of an apply whose answer was lost can be
// determined as long as fewer versions than this were accepted since.
constexpr std::size_t maxRecordedApplies = 32;
constexpr std::size_t maxAuthorLength = 63;

// One accepted apply.
struct AppliedVersion {
    std::uint64_t version = 0;
    // Chosen by ctl for one apply, to tell it apart from other applies.
    std::string applyId;
    std::string contentHash;
    // The operator's name as given to ctl; informational.
    std::string author;

    bool operator==(const AppliedVersion&) const = default;
};

// The value that names the version in force. It is replaced by compare-and-swap, so that one of two concurrent applies
// wins. Written by ApplyOperation and read by HeadReader.
struct ConfigurationHead {
    AppliedVersion applied;
    // The version that the applied one was checked against and replaced.
    std::uint64_t baseVersion = 0;
    std::size_t contentBytes = 0;
    std::size_t contentParts = 1;
    // Earlier applies, newest first.
    std::vector<AppliedVersion> previousApplies;

    // The recorded apply of this id, or null.
    const AppliedVersion* findApply(std::string_view applyId) const;
    // The recorded apply that replaced the given version, or null.
    const AppliedVersion* successorOf(std::uint64_t version) const;
    // Whether every apply after the given version is recorded.
    bool recordsAllSince(std::uint64_t version) const;

    // The value of previousApplies for the head that replaces this one.
    std::vector<AppliedVersion> appliesForNext() const;

    std::string toJson() const;
    // Fails with InvalidArgument; the detail describes the expected value.
    static Result<ConfigurationHead> parse(std::string_view json);

    bool operator==(const ConfigurationHead&) const = default;
};

}
