#pragma once

#include "Core/Clock.h"
#include "Core/Identifiers.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wisteriadock {

// Chooses the balancer of the own zone that aggregates the load reports: the first by rank that sends digests. The loss
// of an aggregator is noticed by its missing digests, before membership declares it dead. LoadExchange uses it.
class AggregatorChoice {
public:
    // A candidate that sends no digest for this long is skipped until it sends one.
    AggregatorChoice(BalancerId self, Duration silenceLimit)
        : self_(self)
        , silenceLimit_(silenceLimit)
    {
    }

    // The balancers of the zone that may aggregate, ordered by rank.
    void setCandidates(std::vector<BalancerId> byRank);
    void noteDigest(BalancerId aggregator, TimePoint now);
    // Must be called at every interval. Returns nothing if there is no candidate.
    std::optional<BalancerId> choose(TimePoint now);
    // The last choice.
    std::optional<BalancerId> current() const { return current_; }

private:
    bool isSilent(BalancerId, TimePoint now);

    const BalancerId self_;
    const Duration silenceLimit_;
    std::vector<BalancerId> candidates_;
    std::optional<BalancerId> current_;
    TimePoint chosenAt_;
    std::map<BalancerId, TimePoint> lastDigests_;
    std::set<BalancerId> skipped_;
};

}
