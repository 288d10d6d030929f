#include "Request/TermReconciler.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // Epochs of one era of the store.
    constexpr unsigned epochBits = 44;

}

TermReconciler::TermReconciler(std::string zone, BalancerId self, const TermTimes& times)
    : zone_(std::move(zone))
    , self_(self)
    , times_(times)
{
}

void TermReconciler::learnMembers(const MembersView& view, TimePoint now)
{
    view_ = view;
    tick(now);
}

void TermReconciler::adopt(const ClaimTerm& term, TimePoint now)
{
    // A platform restored from a backup may return earlier epochs. They are not adopted, and the next write replaces
    // them with a newer epoch.
    if (term_ && term.epoch <= term_->epoch)
        return;
    term_ = term;
    adoptedAt_ = now;
    mismatchSince_.reset();
    actions_.emplace_back(AdoptTerm { term });
}

void TermReconciler::learnEra(std::uint64_t era)
{
    if (era <= era_)
        return;
    era_ = era;
    // May stand for another record by now.
    revision_.reset();
}

void TermReconciler::learnRecord(const ClaimTerm& term, std::uint64_t revision, TimePoint now)
{
    isReading_ = false;
    revision_ = revision;
    adopt(term, now);
    tick(now);
}

void TermReconciler::learnAbsent(TimePoint now)
{
    isReading_ = false;
    revision_ = 0;
    tick(now);
}

void TermReconciler::learnFromPeer(const ClaimTerm& term, TimePoint now)
{
    if (term_ && term.epoch <= term_->epoch)
        return;
    revision_.reset();
    adopt(term, now);
}

void TermReconciler::writeEnded(TermWrite outcome, std::uint64_t newRevision, TimePoint now)
{
    const std::optional<ClaimTerm> written = std::exchange(writing_, std::nullopt);
    nextCallAt_ = now + times_.retry;
    if (outcome == TermWrite::Written && written) {
        revision_ = newRevision;
        adopt(*written, now);
        return;
    }
    // After a conflict or a lost reply the record is read again before any further write.
    if (outcome != TermWrite::Unreached)
        read(now);
}

void TermReconciler::readFailed(TimePoint now)
{
    isReading_ = false;
    nextCallAt_ = now + times_.retry;
}

void TermReconciler::read(TimePoint now)
{
    revision_.reset();
    isReading_ = true;
    nextCallAt_ = now + times_.retry;
    actions_.emplace_back(ReadTerm {});
}

std::optional<ClaimTerm> TermReconciler::desiredTerm(TimePoint now) const
{
    if (auto next = nextClaimTerm(term_, zone_, view_))
        return next;
    const bool isHolder = term_
        && std::any_of(term_->holders.begin(), term_->holders.end(),
            [&](const BalancerInstance& holder) { return holder.id == self_; });
    if (isHolder && !view_.isolated && now - adoptedAt_ >= times_.renewalInterval)
        return renewedClaimTerm(*term_);
    return std::nullopt;
}

std::size_t TermReconciler::rankOf(const ClaimTerm& next) const
{
    const auto self = std::find_if(
        next.holders.begin(), next.holders.end(), [&](const BalancerInstance& holder) { return holder.id == self_; });
    return self - next.holders.begin();
}

void TermReconciler::tick(TimePoint now)
{
    const std::optional<ClaimTerm> next = desiredTerm(now);
    if (!next) {
        mismatchSince_.reset();
        return;
    }
    if (!mismatchSince_)
        mismatchSince_ = now;
    const Duration wait = times_.debounce + times_.rankDelay * static_cast<std::int64_t>(rankOf(*next));
    if (writing_ || isReading_ || now < nextCallAt_ || now - *mismatchSince_ < wait)
        return;
    if (!revision_)
        return read(now);
    writing_ = inEra(*next);
    actions_.emplace_back(WriteTerm { *writing_, *revision_ });
}

// The holders of lost epochs are unknown, so the history is incomplete from then on.
ClaimTerm TermReconciler::inEra(ClaimTerm next) const
{
    const std::uint64_t firstEpoch = era_ << epochBits;
    if (next.epoch >= firstEpoch)
        return next;
    next.epoch = firstEpoch;
    next.isHistoryComplete = false;
    return next;
}

std::vector<TermAction> TermReconciler::takeActions() { return std::exchange(actions_, {}); }

}
