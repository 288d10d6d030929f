#include "News/NewsExchange.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    bool isReachable(const Member& member) { return member.state != MemberState::Dead; }

    // The envelope of a delta and of each item, as msgpack writes them at most.
    constexpr std::size_t deltaOverhead = 32;
    constexpr std::size_t itemOverhead = 24;

    std::size_t sizeOf(const NewsItem& item) { return item.key.size() + item.value.size() + itemOverhead; }

    NewsDelta emptyLike(const NewsDelta& delta, std::uint64_t from)
    {
        NewsDelta piece;
        piece.from = from;
        piece.patchedFrom = from;
        piece.isInDoubt = delta.isInDoubt;
        piece.isFresh = delta.isFresh;
        return piece;
    }

    // A part of a delta that travels in one datagram: an item, or the patch that stands for it.
    struct Part {
        std::uint64_t revision = 0;
        std::size_t size = 0;
        const NewsItem* item = nullptr;
        const ValuePatch* patch = nullptr;
    };

    Part partOf(const ValuePatch& patch)
    {
        return { patch.revision, patch.key.size() + patch.bytes.size() + itemOverhead, nullptr, &patch };
    }

    Part partOf(const NewsItem& item, const NewsBook& book, std::size_t most)
    {
        const Part whole { item.revision, sizeOf(item), &item, nullptr };
        const ValuePatch* patch = deltaOverhead + whole.size > most ? book.patchTo(item.key, item.revision) : nullptr;
        return patch ? partOf(*patch) : whole;
    }

    std::vector<Part> partsOf(const NewsDelta& delta, const NewsBook& book, std::size_t most)
    {
        std::vector<Part> parts;
        for (const NewsItem& item : delta.items)
            parts.push_back(partOf(item, book, most));
        for (const ValuePatch& patch : delta.patches)
            parts.push_back(partOf(patch));
        std::ranges::sort(parts, {}, &Part::revision);
        return parts;
    }

    // The delta in pieces of so many bytes at most, each complete for a receiver that has all before it. A large item
    // goes as the patch that made it, and is left out where that is too large as well, so that the piece behind it
    // follows for nobody who lacks the item.
    std::vector<NewsDelta> piecesOf(const NewsDelta& delta, const NewsBook& book, std::size_t most)
    {
        std::vector<NewsDelta> pieces;
        NewsDelta piece = emptyLike(delta, delta.from);
        std::size_t size = deltaOverhead;
        std::optional<std::uint64_t> last;
        const auto close = [&](std::uint64_t to, std::uint64_t next) {
            piece.to = to;
            pieces.push_back(std::exchange(piece, emptyLike(delta, next)));
            size = deltaOverhead;
            last.reset();
        };
        for (const Part& part : partsOf(delta, book, most)) {
            const bool isTooLarge = deltaOverhead + part.size > most;
            const bool isFull = size + part.size > most;
            if (last && (isTooLarge || isFull)) {
                // Half of a revision is not complete up to it, so what is behind such a split follows for nobody.
                const bool splitsRevision = *last == part.revision;
                close(part.revision - 1, splitsRevision ? part.revision : part.revision - 1);
            }
            // A receiver that knows no patches lacks the item.
            if (isTooLarge || part.patch)
                piece.from = std::max(piece.from, part.revision);
            if (isTooLarge) {
                piece.patchedFrom = piece.from;
                continue;
            }
            size += part.size;
            last = part.revision;
            if (part.patch)
                piece.patches.push_back(*part.patch);
            else
                piece.items.push_back(*part.item);
        }
        close(delta.to, delta.to);
        return pieces;
    }

}

NewsExchange::NewsExchange(std::string availabilityZone, std::uint64_t seed, NewsSettings settings)
    : availabilityZone_(std::move(availabilityZone))
    , settings_(settings)
    , random_(seed)
{
}

NewsActions NewsExchange::handleStore(const NewsDelta& delta, TimePoint now, bool isForOthers)
{
    NewsActions actions = report("store", delta, book_.mergeFromStore(delta, now), now);
    if (delta.isFresh)
        storeHeardAt_ = now;
    if (delta.isWhole)
        announceToUninformed(actions);
    const bool isConfirmation = delta.isFresh && delta.items.empty() && delta.from == delta.to;
    if (isForOthers && (!actions.empty() || isConfirmation))
        push(delta, actions);
    review(now, actions);
    return actions;
}

NewsActions NewsExchange::handlePush(BalancerId sender, const NewsDelta& delta, TimePoint now)
{
    heard_[sender] = std::max(heard_[sender], delta.to);
    if (delta.isFresh)
        storeHeardAt_ = now;
    const Member* member = view_ ? view_->find(sender) : nullptr;
    NewsActions actions = report(member ? member->name : "unknown", delta, book_.merge(delta, now), now);
    review(now, actions);
    return actions;
}

NewsActions NewsExchange::handleAnswer(const std::string& sender, const NewsDelta& delta, TimePoint now)
{
    fetchUntil_.reset();
    // The answer was put together when the request came; large ones are on their way for seconds.
    NewsDelta aged = delta;
    const auto onItsWay = std::chrono::duration_cast<std::chrono::milliseconds>(now - fetchedAt_);
    for (NewsItem& item : aged.items)
        item.ageMilliseconds += static_cast<std::uint32_t>(onItsWay.count());
    for (ValuePatch& patch : aged.patches)
        patch.ageMilliseconds += static_cast<std::uint32_t>(onItsWay.count());
    NewsActions actions = report(sender, aged, book_.merge(aged, now), now);
    fetchForm_ = book_.lacksPatchedValue() ? NewsBook::Form::Whole : NewsBook::Form::Patched;
    if (!actions.empty())
        isWatcher_ ? push(aged, actions) : announce(actions);
    review(now, actions);
    return actions;
}

void NewsExchange::setRole(bool isWatcher, bool isStoreLost)
{
    isWatcher_ = isWatcher;
    isStoreLost_ = isStoreLost;
}

NewsActions NewsExchange::handleNoAnswer(TimePoint now)
{
    fetchUntil_.reset();
    NewsActions actions;
    review(now, actions);
    return actions;
}

void NewsExchange::noteAnswering(TimePoint now)
{
    if (fetchUntil_)
        fetchUntil_ = now + settings_.answerWithin;
}

NewsActions NewsExchange::handleView(std::shared_ptr<const MembersView> view, TimePoint now)
{
    view_ = std::move(view);
    std::erase_if(heard_, [&](const auto& row) { return !view_->find(row.first); });
    NewsActions actions;
    review(now, actions);
    return actions;
}

NewsActions NewsExchange::tick(TimePoint now)
{
    book_.tick(now);
    if (fetchUntil_ && now >= *fetchUntil_)
        fetchUntil_.reset();
    NewsActions actions;
    review(now, actions);
    return actions;
}

std::optional<TimePoint> NewsExchange::nextTick() const
{
    if (fetchUntil_)
        return fetchUntil_;
    if (behindSince_)
        return *behindSince_ + patienceFor(true);
    return std::nullopt;
}

NewsActions NewsExchange::report(
    const std::string& source, const NewsDelta& delta, NewsBook::Changed changed, TimePoint now) const
{
    NewsActions actions;
    if (!changed.empty())
        actions.emplace_back(NewsChanged { std::move(changed), delta.isInDoubt, source,
            behindSince_ ? now - *behindSince_ : Duration::zero(), book_.completeTo() });
    return actions;
}

// A large configuration must not hold up what is small: servers that leave are told at once, in as many datagrams as it
// takes, and only the large items are left to be fetched. A datagram that got lost, or an item that was left out,
// leaves a gap that the receiver notices by the revisions.
void NewsExchange::push(const NewsDelta& delta, NewsActions& actions) const
{
    if (!view_ || delta.isWhole)
        return;
    const std::vector<const Member*> others = othersInZone();
    std::vector<NewsDelta> pieces = piecesOf(delta, book_, settings_.pushBytes);
    // What is left of so much news is fetched.
    if (pieces.size() * others.size() > settings_.mostPushes)
        pieces = { NewsDelta { delta.to, delta.to, false, delta.isInDoubt, {}, delta.isFresh } };
    for (const NewsDelta& piece : pieces) {
        for (const Member* member : others)
            actions.emplace_back(PushNews { member->peerAddress, piece });
    }
}

// All of a large zone asking its two watchers for a large configuration would keep their links busy for seconds.
void NewsExchange::announce(NewsActions& actions)
{
    std::vector<const Member*> others = view_ ? othersInZone() : std::vector<const Member*>();
    if (others.size() < settings_.largeZone)
        return;
    const NewsDelta announcement { book_.completeTo(), book_.completeTo(), false, false, {} };
    for (std::size_t i = 0; i < settings_.announcements; ++i)
        actions.emplace_back(PushNews { others[random_() % others.size()]->peerAddress, announcement });
}

// Who waits for somebody to ask would otherwise hear by gossip, half a second later, that this balancer knows
// everything.
void NewsExchange::announceToUninformed(NewsActions& actions)
{
    const Member* self = view_ ? view_->findSelf() : nullptr;
    if (!self || book_.completeTo() == 0)
        return;
    std::vector<const Member*> uninformed = othersInZone();
    std::erase_if(uninformed, [&](const Member* member) { return revisionOf(*member) > 0; });
    std::ranges::shuffle(uninformed, random_);
    const std::size_t most
        = std::max<std::size_t>(settings_.announcements, self->linkMegabits / settings_.megabitsForEachUninformed);
    uninformed.resize(std::min(uninformed.size(), most));
    const NewsDelta announcement { book_.completeTo(), book_.completeTo(), false, false, {} };
    for (const Member* member : uninformed)
        actions.emplace_back(PushNews { member->peerAddress, announcement });
}

std::vector<const Member*> NewsExchange::othersInZone() const
{
    std::vector<const Member*> others;
    for (const Member& member : view_->members) {
        const bool isOther = member.id != view_->self && member.availabilityZone == availabilityZone_;
        if (isOther && isReachable(member))
            others.push_back(&member);
    }
    return others;
}

void NewsExchange::review(TimePoint now, NewsActions& actions)
{
    if (newestElsewhere() <= book_.completeTo()) {
        behindSince_.reset();
        return;
    }
    if (!behindSince_) {
        behindSince_ = now;
        const bool isLarge = othersInZone().size() >= settings_.largeZone;
        jitter_
            = isLarge ? random_() % (settings_.spread.count() + 1) * std::chrono::milliseconds(1) : Duration::zero();
    }
    std::vector<const Member*> candidates = sources(true);
    const bool hasNearSource = !candidates.empty();
    if (!hasNearSource)
        candidates = sources(false);
    if (fetchUntil_ || candidates.empty() || now - *behindSince_ < patienceFor(hasNearSource))
        return;
    const Member* source = choose(std::move(candidates));
    fetchUntil_ = now + settings_.answerWithin;
    fetchedAt_ = now;
    lastSource_ = source->id;
    actions.emplace_back(FetchNews { source->id, source->requestAddress, book_.completeTo(), fetchForm_ });
}

Duration NewsExchange::patienceFor(bool hasNearSource) const
{
    // Everything at once is much, and the store gives it to many more quickly than a balancer on a thin link does.
    if (book_.completeTo() == 0 && (isStoreLost_ || asksAtOnce_))
        return Duration::zero();
    if (book_.completeTo() == 0)
        return isAnyMuchWider(sources(true)) ? settings_.widePatience : settings_.firstPatience;
    const bool mayAskAtOnce = hasNearSource || isWatcher_;
    return settings_.patience + jitter_ + (mayAskAtOnce ? Duration::zero() : Duration(settings_.farPatience));
}

bool NewsExchange::knowsMuchWider() const { return view_ && isAnyMuchWider(othersInZone()); }

bool NewsExchange::isAnyMuchWider(const std::vector<const Member*>& members) const
{
    const Member* self = view_->findSelf();
    if (!self || self->linkMegabits == 0)
        return false;
    const int wide = bandwidthClassOf(self->linkMegabits) + settings_.muchWider;
    return std::ranges::any_of(
        members, [&](const Member* member) { return bandwidthClassOf(member->linkMegabits) >= wide; });
}

std::vector<const Member*> NewsExchange::sources(bool isNear) const
{
    std::vector<const Member*> found;
    for (const Member& member : view_->members) {
        const bool isAhead = member.id != view_->self && revisionOf(member) > book_.completeTo();
        if (isAhead && isReachable(member) && (member.availabilityZone == availabilityZone_) == isNear)
            found.push_back(&member);
    }
    return found;
}

// Not the one that was asked last, which may be silent, if there is another; of the rest one with the widest link,
// since answers may be large and many ask at once.
const Member* NewsExchange::choose(std::vector<const Member*> members)
{
    if (members.size() > 1)
        std::erase_if(members, [&](const Member* member) { return member->id == lastSource_; });
    int widest = 0;
    for (const Member* member : members)
        widest = std::max(widest, bandwidthClassOf(member->linkMegabits));
    std::erase_if(members, [&](const Member* member) { return bandwidthClassOf(member->linkMegabits) < widest; });
    return members[random_() % members.size()];
}

std::uint64_t NewsExchange::newestElsewhere() const
{
    std::uint64_t newest = 0;
    if (!view_)
        return newest;
    for (const Member& member : view_->members) {
        if (member.id != view_->self && isReachable(member))
            newest = std::max(newest, revisionOf(member));
    }
    return newest;
}

std::uint64_t NewsExchange::revisionOf(const Member& member) const
{
    const auto heard = heard_.find(member.id);
    return heard == heard_.end() ? member.configurationVersion : std::max(heard->second, member.configurationVersion);
}

}
