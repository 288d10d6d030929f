// ReplicaSync: when a balancer that is behind fetches, and from whom.
#include "StoreSync/ReplicaSync.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

void ReplicaSync::fetchIfBehind(TimePoint now, ReplicaSyncActions& actions)
{
    if (newestPeerRevision() <= replica_.completeTo()) {
        behindSince_.reset();
        return;
    }
    if (!behindSince_) {
        behindSince_ = now;
        const bool isLarge = othersInZone().size() >= settings_.largeZoneSize;
        jitter_
            = isLarge ? random_() % (settings_.maxJitter.count() + 1) * std::chrono::milliseconds(1) : Duration::zero();
    }
    std::vector<const Member*> candidates = sources(true);
    const bool hasSourceInZone = !candidates.empty();
    if (!hasSourceInZone)
        candidates = sources(false);
    const bool isTold = replica_.completeTo() > 0 && answeredRevision_ > replica_.completeTo();
    const bool isTooEarly = now - *behindSince_ < fetchDelay(hasSourceInZone) && !isTold;
    const bool mustWait = isTooEarly || (replica_.completeTo() == 0 && now < otherZonesFrom_);
    if (fetchDeadline_ || candidates.empty() || mustWait)
        return;
    const auto teller = std::ranges::find(candidates, answeringPeer_, &Member::id);
    // One that has just answered lives. If the fetch from it fails, another one is asked.
    const bool asksTeller = isTold && teller != candidates.end() && lastSource_ != answeringPeer_;
    const Member* source = asksTeller ? *teller : chooseSource(std::move(candidates));
    fetchDeadline_ = now + (hasOwnZone() ? settings_.answerTimeout : settings_.startAnswerTimeout);
    fetchStartedAt_ = now;
    lastSource_ = source->id;
    fetchScope_ = nextFetchScope(hasSourceInZone);
    const std::uint64_t after = replica_.needsSnapshot() ? 0 : replica_.completeTo();
    actions.emplace_back(FetchDelta { source->id, source->requestAddress, after, fetchEncoding_, fetchScope_ });
}

// A balancer that has just started can serve as soon as it knows its own zone. The whole store takes several times as
// long on a slow link.
FetchScope ReplicaSync::nextFetchScope(bool hasSourceInZone) const
{
    const Member* self = view_->findSelf();
    const bool isSlow = self && isSlowLink(self->linkMegabits, settings_.fastLinkMegabits);
    return isSlow && hasSourceInZone && !hasOwnZone() ? FetchScope::OwnZone : FetchScope::Everything;
}

Duration ReplicaSync::fetchDelay(bool hasSourceInZone) const
{
    // A snapshot is large, and the store usually serves it faster than a balancer with a slow link.
    if (replica_.completeTo() == 0 && (isStoreUnreachable_ || fetchesImmediately_))
        return Duration::zero();
    if (replica_.completeTo() == 0)
        return hasFasterPeer(sources(true)) ? settings_.fasterPeerListingTimeout : settings_.listingTimeout;
    const bool mayFetchSooner = hasSourceInZone || isWatcher_;
    return settings_.pushTimeout + jitter_ + (mayFetchSooner ? Duration::zero() : Duration(settings_.otherZoneDelay));
}

bool ReplicaSync::knowsBetterReaders() const
{
    const Member* self = view_ ? view_->findSelf() : nullptr;
    if (!self)
        return false;
    const std::vector<const Member*> others = othersInZone();
    const auto rankOf
        = [](const Member& member) { return std::pair(-bandwidthClassOf(member.linkMegabits), member.id); };
    std::uint32_t megabitsBefore = 0;
    for (const Member* member : others) {
        if (rankOf(*member) < rankOf(*self))
            megabitsBefore += member->linkMegabits;
    }
    return megabitsBefore >= settings_.readerMegabits || hasFasterPeer(others);
}

bool ReplicaSync::hasFasterPeer(const std::vector<const Member*>& members) const
{
    const Member* self = view_->findSelf();
    if (!self || self->linkMegabits == 0)
        return false;
    const int minClass = bandwidthClassOf(self->linkMegabits) + settings_.fasterPeerClasses;
    return std::ranges::any_of(
        members, [&](const Member* member) { return bandwidthClassOf(member->linkMegabits) >= minClass; });
}

std::vector<const Member*> ReplicaSync::sources(bool isInZone) const
{
    std::vector<const Member*> found;
    for (const Member& member : view_->members) {
        const bool isAhead = member.id != view_->self && revisionOf(member) > replica_.completeTo();
        if (isAhead && member.isReachable() && (member.availabilityZone == availabilityZone_) == isInZone)
            found.push_back(&member);
    }
    return found;
}

// Avoids the source of the last fetch, which may be unresponsive, and prefers fast links, since answers may be large
// and many balancers fetch at once.
const Member* ReplicaSync::chooseSource(std::vector<const Member*> members)
{
    if (members.size() > 1)
        std::erase_if(members, [&](const Member* member) { return member->id == lastSource_; });
    int fastestClass = 0;
    for (const Member* member : members)
        fastestClass = std::max(fastestClass, bandwidthClassOf(member->linkMegabits));
    std::erase_if(members, [&](const Member* member) { return bandwidthClassOf(member->linkMegabits) < fastestClass; });
    return members[random_() % members.size()];
}

std::uint64_t ReplicaSync::newestPeerRevision() const
{
    std::uint64_t newest = 0;
    if (!view_)
        return newest;
    for (const Member& member : view_->members) {
        if (member.id != view_->self && member.isReachable())
            newest = std::max(newest, revisionOf(member));
    }
    return newest;
}

std::uint64_t ReplicaSync::revisionOf(const Member& member) const
{
    const auto pushed = pushedRevisions_.find(member.id);
    return pushed == pushedRevisions_.end() ? member.configurationVersion
                                            : std::max(pushed->second, member.configurationVersion);
}

}
