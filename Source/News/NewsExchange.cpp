#include "News/NewsExchange.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    bool isReachable(const Member& member)
    {
        return member.state == MemberState::Joining || member.state == MemberState::Serving
            || member.state == MemberState::Leaving;
    }

    std::size_t sizeOf(const NewsDelta& delta)
    {
        // The envelope of a delta and of each item, as msgpack writes them at most.
        constexpr std::size_t deltaOverhead = 32;
        constexpr std::size_t itemOverhead = 24;
        std::size_t size = deltaOverhead;
        for (const NewsItem& item : delta.items)
            size += item.key.size() + item.value.size() + itemOverhead;
        return size;
    }

}

NewsExchange::NewsExchange(std::string availabilityZone, std::uint64_t seed, NewsSettings settings)
    : availabilityZone_(std::move(availabilityZone))
    , settings_(settings)
    , random_(seed)
{
}

NewsActions NewsExchange::handleStore(const NewsDelta& delta, TimePoint now)
{
    NewsActions actions = merge("store", delta, now);
    if (!actions.empty())
        push(delta, actions);
    review(now, actions);
    return actions;
}

NewsActions NewsExchange::handlePush(BalancerId sender, const NewsDelta& delta, TimePoint now)
{
    heard_[sender] = std::max(heard_[sender], delta.to);
    const Member* member = view_ ? view_->find(sender) : nullptr;
    NewsActions actions = merge(member ? member->name : "unknown", delta, now);
    review(now, actions);
    return actions;
}

NewsActions NewsExchange::handleAnswer(const std::string& sender, const NewsDelta& delta, TimePoint now)
{
    fetchUntil_.reset();
    NewsActions actions = merge(sender, delta, now);
    review(now, actions);
    return actions;
}

NewsActions NewsExchange::handleNoAnswer(TimePoint now)
{
    fetchUntil_.reset();
    NewsActions actions;
    review(now, actions);
    return actions;
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
        return *behindSince_ + settings_.patience;
    return std::nullopt;
}

NewsActions NewsExchange::merge(const std::string& source, const NewsDelta& delta, TimePoint now)
{
    NewsActions actions;
    NewsBook::Changed changed = book_.merge(delta, now);
    if (!changed.empty())
        actions.emplace_back(NewsChanged { std::move(changed), delta.isInDoubt, source, book_.completeTo() });
    return actions;
}

// What is too large for a datagram is left out; the receiver notices the gap and fetches it.
void NewsExchange::push(const NewsDelta& delta, NewsActions& actions) const
{
    if (!view_ || delta.isWhole)
        return;
    NewsDelta small = delta;
    if (sizeOf(delta) > settings_.pushBytes) {
        small.items.clear();
        // Complete for nobody: it only tells how far the sender is.
        small.from = small.to;
    }
    for (const Member& member : view_->members) {
        const bool isOther = member.id != view_->self && member.availabilityZone == availabilityZone_;
        if (isOther && isReachable(member))
            actions.emplace_back(PushNews { member.peerAddress, small });
    }
}

void NewsExchange::review(TimePoint now, NewsActions& actions)
{
    if (newestElsewhere() <= book_.completeTo()) {
        behindSince_.reset();
        return;
    }
    if (!behindSince_)
        behindSince_ = now;
    // A balancer that knows nothing serves nobody, so it does not wait.
    const bool isDue = book_.completeTo() == 0 || now - *behindSince_ >= settings_.patience;
    if (!isDue || fetchUntil_)
        return;
    const Member* source = chooseSource();
    if (!source)
        return;
    fetchUntil_ = now + settings_.answerWithin;
    lastSource_ = source->id;
    actions.emplace_back(FetchNews { source->id, source->requestAddress, book_.completeTo() });
}

// The own zone first, since bytes between zones are dear, and not the one that was asked last, which may be silent.
const Member* NewsExchange::chooseSource()
{
    std::vector<const Member*> near;
    std::vector<const Member*> far;
    for (const Member& member : view_->members) {
        const bool isAhead = member.id != view_->self && revisionOf(member) > book_.completeTo();
        if (!isAhead || !isReachable(member))
            continue;
        (member.availabilityZone == availabilityZone_ ? near : far).push_back(&member);
    }
    for (auto* group : { &near, &far }) {
        if (group->size() + (group == &near ? far.size() : near.size()) > 1)
            std::erase_if(*group, [&](const Member* member) { return member->id == lastSource_; });
        if (!group->empty())
            return (*group)[random_() % group->size()];
    }
    return nullptr;
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
