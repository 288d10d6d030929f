#include "Request/ClaimTerm.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::uint64_t rendezvousSeed = 0x636c61696d;

    // The incarnation is not hashed, so that a restarted balancer gets its buckets back.
    std::uint64_t score(const BalancerInstance& holder, std::uint32_t bucket)
    {
        return hashPair(hashPair(rendezvousSeed, holder.id.value), bucket);
    }

    std::optional<ClaimPair> pairAmong(
        const std::vector<BalancerInstance>& holders, std::uint64_t epoch, std::uint32_t bucket)
    {
        const BalancerInstance* first = nullptr;
        const BalancerInstance* second = nullptr;
        for (const BalancerInstance& holder : holders) {
            if (!first || score(holder, bucket) > score(*first, bucket)) {
                second = first;
                first = &holder;
            } else if (!second || score(holder, bucket) > score(*second, bucket))
                second = &holder;
        }
        if (!first)
            return std::nullopt;
        return ClaimPair { epoch, *first, second ? std::optional(*second) : std::nullopt };
    }

    std::vector<BalancerInstance> servingHolders(std::string_view zone, const MembersView& view)
    {
        std::vector<BalancerInstance> holders;
        for (const Member& member : view.members) {
            if (member.state == MemberState::Serving && member.availabilityZone == zone)
                holders.push_back({ member.id, member.incarnation });
        }
        std::sort(holders.begin(), holders.end());
        return holders;
    }

    ClaimTerm successorOf(const ClaimTerm& current, std::vector<BalancerInstance> holders)
    {
        ClaimTerm next { current.zone, current.epoch + 1, std::move(holders), current.previous,
            current.isHistoryComplete };
        next.previous.insert(next.previous.begin(), PastTerm { current.epoch, current.holders });
        if (next.previous.size() > ClaimTerm::maxPastTerms) {
            next.previous.resize(ClaimTerm::maxPastTerms);
            next.isHistoryComplete = false;
        }
        return next;
    }

}

std::uint32_t claimBucketOf(const KeyDigest& digest) { return digest.high % claimBucketCount; }

std::optional<ClaimPair> ClaimTerm::pairOf(std::uint32_t bucket) const { return pairAmong(holders, epoch, bucket); }

std::vector<ClaimPair> ClaimTerm::pastPairsOf(std::uint32_t bucket) const
{
    std::vector<ClaimPair> pairs;
    for (const PastTerm& past : previous) {
        if (const auto pair = pairAmong(past.holders, past.epoch, bucket))
            pairs.push_back(*pair);
    }
    return pairs;
}

std::optional<ClaimTerm> nextClaimTerm(
    const std::optional<ClaimTerm>& current, std::string_view zone, const MembersView& view)
{
    // An isolated balancer may have been paused, so its view of the others may be outdated.
    if (view.isolated)
        return std::nullopt;
    std::vector<BalancerInstance> holders = servingHolders(zone, view);
    if (holders.empty() || (current && current->holders == holders))
        return std::nullopt;
    if (!current)
        return ClaimTerm { std::string(zone), 1, std::move(holders), {}, true };
    return successorOf(*current, std::move(holders));
}

ClaimTerm renewedClaimTerm(const ClaimTerm& current) { return successorOf(current, current.holders); }

}
