#pragma once

#include "Core/Identifiers.h"

#include <cstdint>

namespace wisteriadock {

// The generation number of a bucket table of one service. The upper 28 bits are the version of the configuration, the
// lower 36 bits the revision of the weight factors, so that a later table has a higher number. The lowest bits of the
// revision identify the issuing balancer, so that two arbiters never give the same number to different tables.
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

    // A revision above the given one that no other balancer issues.
    static constexpr std::uint64_t nextRevision(std::uint64_t revision, BalancerId issuer)
    {
        const std::uint64_t counter = (revision >> issuerBits) + 1;
        return ((counter << issuerBits) | (issuer.value & issuerMask)) & revisionMask;
    }

private:
    // The upper bits of a revision count the changes of the factors, the lower issuerBits identify the issuer.
    static constexpr unsigned revisionBits = 36;
    static constexpr unsigned issuerBits = 12;
    static constexpr std::uint64_t revisionMask = (std::uint64_t(1) << revisionBits) - 1;
    static constexpr std::uint64_t issuerMask = (std::uint64_t(1) << issuerBits) - 1;

    std::uint64_t number_ = 0;
};

}
