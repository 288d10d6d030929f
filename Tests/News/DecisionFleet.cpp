#include "News/DecisionFleet.h"

#include "News/CompressedValue.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto messageTime = 2ms;
    constexpr auto storeTime = 4ms;
    constexpr auto watchStep = 20ms;
    constexpr auto beatPeriod = 250ms;

}

DecisionFleet::DecisionFleet(std::uint32_t seed)
    : random_(seed)
{
    for (std::size_t i = 0; i < zones * balancersPerZone; ++i) {
        Balancer balancer;
        balancer.availabilityZone = i < balancersPerZone ? "walu" : "nabua";
        balancer.name = fmt::format("{}-{}", balancer.availabilityZone, i % balancersPerZone);
        balancer.id = balancerIdOf(balancer.name);
        balancers_.push_back(std::move(balancer));
        lives_.push_back(0);
    }
    for (std::size_t i = 0; i < balancers_.size(); ++i)
        start(i);
    nextBeat_ = clock_.now();
}

void DecisionFleet::start(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    ++lives_[index];
    balancer.feed = std::make_unique<StoreFeed>(random_());
    balancer.sync = std::make_unique<ReplicaSync>(balancer.availabilityZone, random_());
    RouterSettings settings;
    settings.availabilityZone = balancer.availabilityZone;
    balancer.router = std::make_unique<TokenRouter>(settings);
    balancer.newestVersion = 0;
    perform(index, balancer.feed->start(clock_.now()));
}

void DecisionFleet::put(const std::string& key, std::string value, bool isRemoved)
{
    const PlatformItem item { key, std::move(value), ++revision_, isRemoved };
    history_.push_back(item);
    if (isRemoved)
        items_.erase(key);
    else
        items_[key] = item;
}

void DecisionFleet::writeConfiguration(std::uint64_t version, const std::vector<std::string>& servicesByRoute)
{
    ForwardingConfiguration configuration { version, {}, 15s };
    for (std::size_t i = 0; i < servicesByRoute.size(); ++i) {
        if (!servicesByRoute[i].empty())
            configuration.routes.push_back({ fmt::format("r{}", i), routeOf(i), { { servicesByRoute[i], 1 } } });
    }
    configurations_[version] = configuration;
    // Long enough to travel packed, and as patches.
    put("configuration", fmt::format("{}\n{}", version, std::string(compressionThreshold, 'r')), false);
}

void DecisionFleet::writeServer(const RegisteredServer& server)
{
    servers_[fmt::format("{}@{}", server.id, revision_ + 1)] = server;
    put("server " + server.id, fmt::format("{}@{}", server.id, revision_ + 1), false);
}

void DecisionFleet::removeServer(const RegisteredServer& server) { put("server " + server.id, {}, true); }

void DecisionFleet::schedule(Duration delay, std::function<void()> action)
{
    events_.push_back({ clock_.now() + delay, nextOrder_++, std::move(action) });
}

void DecisionFleet::advance(Duration step)
{
    const TimePoint end = clock_.now() + step;
    for (;;) {
        const auto next = std::ranges::min_element(
            events_, [](const Event& a, const Event& b) { return a.at != b.at ? a.at < b.at : a.order < b.order; });
        const bool hasEvent = next != events_.end() && next->at <= std::min(end, nextBeat_);
        if (hasEvent) {
            const Event event = std::move(*next);
            events_.erase(next);
            clock_.advance(std::max<Duration>(event.at - clock_.now(), Duration::zero()));
            event.action();
        } else if (nextBeat_ <= end) {
            clock_.advance(nextBeat_ - clock_.now());
            nextBeat_ += beatPeriod;
            beat();
        } else {
            clock_.advance(end - clock_.now());
            return;
        }
    }
}

// What the daemon does at each beat; the revisions of the others come as membership brings them, unless they get lost.
void DecisionFleet::beat()
{
    for (std::size_t index = 0; index < balancers_.size(); ++index) {
        Balancer& balancer = balancers_[index];
        if (balancer.isFrozen)
            continue;
        auto view = std::make_shared<MembersView>();
        view->self = balancer.id;
        for (const Balancer& other : balancers_) {
            Member member;
            member.id = other.id;
            member.name = other.name;
            member.availabilityZone = other.availabilityZone;
            member.state = other.isFrozen ? MemberState::Dead : MemberState::Serving;
            member.peerAddress = { other.id.value, 1 };
            member.requestAddress = member.peerAddress;
            member.configurationVersion = isLost() ? 0 : other.sync->replica().completeTo();
            view->members.push_back(member);
        }
        std::ranges::sort(view->members, {}, &Member::id);
        perform(index, balancer.sync->handleView(view, now()));
        perform(index, balancer.sync->tick(now()));
        const bool isWatcher = index % balancersPerZone < watchersPerZone;
        balancer.sync->setRole(isWatcher, balancer.feed->isUnreachable());
        perform(index,
            balancer.feed->update(
                balancer.sync->replica().completeTo(), isWatcher, balancer.sync->behindSince(), now()));
        perform(index, balancer.feed->tick(now()));
        balancer.router->noteStoreHeard(balancer.sync->lastStoreContact());
        balancer.router->tick(now());
    }
}

void DecisionFleet::perform(std::size_t index, const StoreFeedActions& actions)
{
    for (const StoreFeedAction& action : actions) {
        const std::uint64_t life = lives_[index];
        const auto whenAlive = [this, index, life](std::function<void()> then) {
            return [this, index, life, then = std::move(then)] {
                if (lives_[index] == life && !balancers_[index].isFrozen)
                    then();
            };
        };
        if (const auto* news = std::get_if<DeltaReceived>(&action)) {
            perform(index, balancers_[index].sync->handleStoreDelta(news->delta, now()));
        } else if (const auto* list = std::get_if<SendList>(&action)) {
            const bool mayBeOld = list->call.mayBeStale;
            schedule(storeTime, whenAlive([this, index, mayBeOld] { answerList(index, mayBeOld); }));
        } else if (const auto* watch = std::get_if<SendWatch>(&action)) {
            schedule(storeTime, whenAlive([this, index, watch = *watch, until = now() + watch->call.wait] {
                answerWatch(index, watch, until);
            }));
        }
    }
}

void DecisionFleet::keepListings(bool keeps) { keptPage_ = keeps ? std::optional(page()) : std::nullopt; }

PlatformPage DecisionFleet::page() const
{
    PlatformPage page;
    page.revision = revision_;
    for (const auto& [key, item] : items_)
        page.items.push_back(item);
    return page;
}

void DecisionFleet::answerList(std::size_t index, bool mayBeOld)
{
    Balancer& balancer = balancers_[index];
    if (isStoreDown || balancer.isTurnedAway)
        return perform(index, balancer.feed->handlePage(Error { ErrorCode::Unavailable, "status 503" }, now()));
    perform(index, balancer.feed->handlePage(mayBeOld && keptPage_ ? *keptPage_ : page(), now()));
}

void DecisionFleet::answerWatch(std::size_t index, const SendWatch& watch, TimePoint until)
{
    Balancer& balancer = balancers_[index];
    const auto answer = [&](const Result<PlatformChanges>& changes) {
        perform(index, balancer.feed->handleChanges(watch.number, changes, now()));
    };
    if (isStoreDown || balancer.isTurnedAway)
        return answer(Error { ErrorCode::Unavailable, "status 503" });
    if (watch.call.revision < forgottenTo_)
        return answer(Error { ErrorCode::NotFound, "history" });
    PlatformChanges changes { {}, revision_ };
    for (const PlatformItem& item : history_) {
        if (item.revision > watch.call.revision)
            changes.items.push_back(item);
    }
    if (!changes.items.empty() || now() >= until)
        return answer(changes);
    const std::uint64_t life = lives_[index];
    schedule(watchStep, [this, index, watch, until, life] {
        if (lives_[index] == life && !balancers_[index].isFrozen)
            answerWatch(index, watch, until);
    });
}

void DecisionFleet::perform(std::size_t index, const ReplicaSyncActions& actions)
{
    for (const ReplicaSyncAction& action : actions) {
        const BalancerId self = balancers_[index].id;
        if (const auto* changed = std::get_if<ReplicaChanged>(&action)) {
            apply(balancers_[index], *changed);
        } else if (const auto* push = std::get_if<PushDelta>(&action)) {
            if (isLost())
                continue;
            schedule(messageTime, [this, self, push = *push] {
                for (std::size_t to = 0; to < balancers_.size(); ++to) {
                    if (balancers_[to].id.value == push.to.address && !balancers_[to].isFrozen)
                        perform(to, balancers_[to].sync->handlePush(self, push.delta, now()));
                }
            });
        } else if (const auto* fetch = std::get_if<FetchDelta>(&action)) {
            const bool isAnswered = !isLost();
            const std::uint64_t life = lives_[index];
            schedule(2 * messageTime, [this, index, life, fetch = *fetch, isAnswered] {
                Balancer& asking = balancers_[index];
                if (lives_[index] != life || asking.isFrozen)
                    return;
                for (const Balancer& other : balancers_) {
                    if (other.id == fetch.from && isAnswered && !other.isFrozen)
                        return perform(index,
                            asking.sync->handleAnswer(other.name,
                                other.sync->replica().deltaSince(fetch.after, now(), fetch.encoding), now()));
                }
                perform(index, asking.sync->handleFetchFailure(now()));
            });
        }
    }
}

void DecisionFleet::apply(Balancer& balancer, const ReplicaChanged& news)
{
    for (const StoreUpdate& item : news.items) {
        if (item.key == "configuration") {
            balancer.router->applyConfiguration(configurations_.at(std::stoull(item.value)));
            regressions_ += balancer.router->configurationVersion() < balancer.newestVersion;
            balancer.newestVersion = balancer.router->configurationVersion();
        } else if (item.key.starts_with("empty ")) {
            balancer.router->orderZone(item.key.substr(6), !item.isRemoved, item.revision, now());
        } else if (item.isRemoved) {
            balancer.router->removeServer(item.key.substr(7), news.isInDoubt, now());
        } else {
            balancer.router->putServer(servers_.at(item.value), item.revision, now());
        }
    }
}

}
