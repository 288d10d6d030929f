#pragma once

#include <cstdint>

namespace wisteriadock {

// The store counts its changes. When it is restored from an older copy, it gives out revisions again, and its era rises
// by one. A store revision alone therefore doesn't tell which of two changes is newer. Replicas, deltas and messages
// between balancers hold both in one number, the era in the upper bits, so that all changes of an era are newer than
// those of earlier ones. Only the calls to the store use store revisions.
inline constexpr unsigned storeRevisionBits = 44;
inline constexpr std::uint64_t maxStoreRevision = (std::uint64_t(1) << storeRevisionBits) - 1;
inline constexpr std::uint64_t maxStoreEra = (std::uint64_t(1) << (64 - storeRevisionBits)) - 1;

constexpr std::uint64_t revisionInEra(std::uint64_t era, std::uint64_t storeRevision)
{
    return (era << storeRevisionBits) | storeRevision;
}

constexpr std::uint64_t eraOf(std::uint64_t revision) { return revision >> storeRevisionBits; }

constexpr std::uint64_t storeRevisionOf(std::uint64_t revision) { return revision & maxStoreRevision; }

}
