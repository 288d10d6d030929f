#pragma once

#include "Membership/Member.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// Claims of one availability zone are divided into this many buckets by the key's digest.
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

// Who held claims under an earlier epoch.
struct PastTerm {
    std::uint64_t epoch = 0;
    std::vector<BalancerInstance> holders;

    bool operator==(const PastTerm&) const = default;
};

// The ownership record of one availability zone. It is written to the platform by compare-and-swap, so there is one
// list of holders for each epoch, and everybody who knows the epoch agrees on every bucket's owner and backup.
struct ClaimTerm {
    std::string zone;
    std::uint64_t epoch = 0;
    // Sorted.
    std::vector<BalancerInstance> holders;
    // Newest first, at most maxPastTerms.
    std::vector<PastTerm> previous;
    // True while previous reaches back to the first epoch ever.
    bool isHistoryWhole = true;

    static constexpr std::size_t maxPastTerms = 16;

    // The pair of a bucket by rendezvous over the holders; nothing when there are none.
    std::optional<ClaimPair> pairOf(std::uint32_t bucket) const;
    // The pairs of a bucket under the previous epochs, newest first.
    std::vector<ClaimPair> pastPairsOf(std::uint32_t bucket) const;

    bool operator==(const ClaimTerm&) const = default;
};

// The term that should follow, given who serves in the zone now; nothing when the holders are the right ones already or
// nobody serves. The caller writes it by compare-and-swap on the record that it read.
std::optional<ClaimTerm> nextClaimTerm(
    const std::optional<ClaimTerm>& current, std::string_view zone, const MembersView&);

// The same holders under the next epoch: written now and then so that tickets age.
ClaimTerm renewedClaimTerm(const ClaimTerm& current);

}
