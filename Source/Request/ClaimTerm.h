#pragma once

#include "Membership/Member.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// Number of buckets into which the claims of one availability zone are divided by key digest.
constexpr std::uint32_t claimBucketCount = 256;

std::uint32_t claimBucketOf(const KeyDigest&);

// The two balancers that hold the claims of one bucket under one epoch.
struct ClaimPair {
    std::uint64_t epoch = 0;
    BalancerInstance owner;
    // Absent when the zone had a single holder.
    std::optional<BalancerInstance> backup;

    bool operator==(const ClaimPair&) const = default;
};

// The holders of an earlier epoch.
struct PastTerm {
    std::uint64_t epoch = 0;
    std::vector<BalancerInstance> holders;

    bool operator==(const PastTerm&) const = default;
};

// The ownership record of one availability zone. It is written to the platform by compare-and-swap, so each epoch has
// exactly one list of holders, and all balancers that know the epoch agree on every bucket's owner and backup.
struct ClaimTerm {
    std::string zone;
    std::uint64_t epoch = 0;
    // Sorted.
    std::vector<BalancerInstance> holders;
    // Newest first, at most maxPastTerms.
    std::vector<PastTerm> previous;
    // True while previous reaches back to the first epoch.
    bool isHistoryComplete = true;

    static constexpr std::size_t maxPastTerms = 16;

    // The pair of a bucket by rendezvous hashing over the holders; empty when there are no holders.
    std::optional<ClaimPair> pairOf(std::uint32_t bucket) const;
    // The pairs of a bucket under the previous epochs, newest first.
    std::vector<ClaimPair> pastPairsOf(std::uint32_t bucket) const;

    bool operator==(const ClaimTerm&) const = default;
};

// The next ownership record for the balancers that serve in the zone now; empty when the holders are up to date or no
// balancer serves. The caller writes it by compare-and-swap on the record that it read.
std::optional<ClaimTerm> nextClaimTerm(
    const std::optional<ClaimTerm>& current, std::string_view zone, const MembersView&);

// The same holders under the next epoch. Written periodically so that old tickets can be told from new ones.
ClaimTerm renewedClaimTerm(const ClaimTerm& current);

}
