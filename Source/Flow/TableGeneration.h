#pragma once

#include "Core/Identifiers.h"

#include <cstdint>

namespace wisteriadock {

// Numbers the tables of one service. It rises with the version of the configuration and, within one version, with each
// change of the server factors. The author's bits keep two arbiters from giving one number to two tables.
class TableGeneration {
public:
    constexpr TableGeneration() = default;
    constexpr explicit TableGeneration(std::uint64_t number)
        : number_(number)
    {
    }
    constexpr TableGeneration(std::uint64_t version, std::uint64_t factorsRevision)
        : number_((version << revisionBits) | (factorsRevision & revisionMask))
    {
    }

    constexpr std::uint64_t number() const { return number_; }
    constexpr std::uint64_t version() const { return number_ >> revisionBits; }
    constexpr std::uint64_t factorsRevision() const { return number_ & revisionMask; }

    // A revision above the given one that no other balancer gives.
    static constexpr std::uint64_t nextRevision(std::uint64_t revision, BalancerId author)
    {
        const std::uint64_t counter = (revision >> authorBits) + 1;
        return ((counter << authorBits) | (author.value & authorMask)) & revisionMask;
    }

private:
    // Enough for a change of factors every two seconds during a year.
    static constexpr unsigned revisionBits = 36;
    static constexpr unsigned authorBits = 12;
    static constexpr std::uint64_t revisionMask = (std::uint64_t(1) << revisionBits) - 1;
    static constexpr std::uint64_t authorMask = (std::uint64_t(1) << authorBits) - 1;

    std::uint64_t number_ = 0;
};

}
