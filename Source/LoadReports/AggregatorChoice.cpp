#include "LoadReports/AggregatorChoice.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

void AggregatorChoice::setCandidates(std::vector<BalancerId> byRank)
{
    candidates_ = std::move(byRank);
    const auto isCandidate = [this](BalancerId id) { return std::ranges::count(candidates_, id) > 0; };
    std::erase_if(skipped_, [&](BalancerId id) { return !isCandidate(id); });
    std::erase_if(lastDigests_, [&](const auto& row) { return !isCandidate(row.first); });
}

void AggregatorChoice::noteDigest(BalancerId aggregator, TimePoint now)
{
    if (std::ranges::count(candidates_, aggregator) == 0)
        return;
    lastDigests_[aggregator] = now;
    skipped_.erase(aggregator);
}

std::optional<BalancerId> AggregatorChoice::choose(TimePoint now)
{
    for (const BalancerId candidate : candidates_) {
        if (skipped_.contains(candidate))
            continue;
        if (current_ != candidate) {
            current_ = candidate;
            chosenAt_ = now;
        }
        if (candidate == self_ || !isSilent(candidate, now))
            return current_;
        skipped_.insert(candidate);
    }
    // All are silent, so that none is better than another. Self is among the candidates unless it leaves.
    skipped_.clear();
    current_ = candidates_.empty() ? std::nullopt : std::optional(candidates_.front());
    chosenAt_ = now;
    return current_;
}

bool AggregatorChoice::isSilent(BalancerId candidate, TimePoint now)
{
    const auto last = lastDigests_.find(candidate);
    const TimePoint since = last == lastDigests_.end() ? chosenAt_ : std::max(chosenAt_, last->second);
    return now - since > silenceLimit_;
}

}
