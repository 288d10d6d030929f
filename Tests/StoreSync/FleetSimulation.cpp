#include "StoreSync/FleetSimulation.h"

#include "StoreSync/CompressedValue.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto messageLatency = 2ms;
    constexpr auto storeLatency = 4ms;
    constexpr auto watchPollInterval = 20ms;
    constexpr auto tickPeriod = 250ms;

}

FleetSimulation::FleetSimulation(std::uint32_t seed)
    : random_(seed)
{
    for (std::size_t i = 0; i < zones * balancersPerZone; ++i) {
        Balancer balancer;
        balancer.availabilityZone = i < balancersPerZone ? "walu" : "nabua";
        balancer.name = fmt::format("{}-{}", balancer.availabilityZone, i % balancersPerZone);
        balancer.id = balancerIdOf(balancer.name);
        balancers_.push_back(std::move(balancer));
        incarnations_.push_back(0);
    }
    for (std::size_t i = 0; i < balancers_.size(); ++i)
        start(i);
    nextTick_ = clock_.now();
}

void FleetSimulation::start(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    ++incarnations_[index];
    balancer.feed = std::make_unique<StoreFeed>(random_());
    balancer.sync = std::make_unique<ReplicaSync>(balancer.availabilityZone, random_());
    RouterSettings settings;
    settings.availabilityZone = balancer.availabilityZone;
    balancer.router = std::make_unique<TokenRouter>(settings);
    balancer.newestVersion = 0;
    perform(index, balancer.feed->start(clock_.now()));
}

void FleetSimulation::put(const std::string& key, std::string value, bool isRemoved)
{
    const PlatformItem item { key, std::move(value), ++revision_, isRemoved };
    history_.push_back(item);
    if (isRemoved)
        items_.erase(key);
    else
        items_[key] = item;
}

void FleetSimulation::writeConfiguration(std::uint64_t version, const std::vector<std::string>& servicesByRoute)
{
    ForwardingConfiguration configuration { version, {}, 15s };
    for (std::size_t i = 0; i < servicesByRoute.size(); ++i) {
        if (!servicesByRoute[i].empty())
            configuration.routes.push_back({ fmt::format("r{}", i), routeOf(i), { { servicesByRoute[i], 1 } } });
    }
    configurations_[version] = configuration;
    // Long enough to be sent compressed and as patches.
    put("configuration", fmt::format("{}\n{}", version, std::string(compressionThreshold, 'r')), false);
}

void FleetSimulation::writeServer(const RegisteredServer& server)
{
    const std::string value = fmt::format("{}@{}", server.id, ++serverWrites_);
    servers_[value] = server;
    put("server " + server.id, value, false);
}

void FleetSimulation::restoreStore(const StoreCopy& copy)
{
    items_ = copy.items;
    revision_ = copy.revision;
    std::erase_if(history_, [&](const PlatformItem& item) { return item.revision > revision_; });
    compactedRevision_ = std::min(compactedRevision_, revision_);
    ++era_;
}

void FleetSimulation::removeServer(const RegisteredServer& server) { put("server " + server.id, {}, true); }

void FleetSimulation::schedule(Duration delay, std::function<void()> action)
{
    events_.push_back({ clock_.now() + delay, nextSequence_++, std::move(action) });
}

void FleetSimulation::advance(Duration step)
{
    const TimePoint end = clock_.now() + step;
    for (;;) {
        const auto next = std::ranges::min_element(events_,
            [](const Event& a, const Event& b) { return a.at != b.at ? a.at < b.at : a.sequence < b.sequence; });
        const bool hasEvent = next != events_.end() && next->at <= std::min(end, nextTick_);
        if (hasEvent) {
            const Event event = std::move(*next);
            events_.erase(next);
            clock_.advance(std::max<Duration>(event.at - clock_.now(), Duration::zero()));
            event.action();
        } else if (nextTick_ <= end) {
            clock_.advance(nextTick_ - clock_.now());
            nextTick_ += tickPeriod;
            tickBalancers();
        } else {
            clock_.advance(end - clock_.now());
            return;
        }
    }
}

// Runs the periodic work of the daemon on each balancer. The revisions of the others arrive by membership unless lost.
void FleetSimulation::tickBalancers()
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
        balancer.router->noteStoreContact(balancer.sync->lastStoreContact());
        balancer.router->tick(now());
    }
}

void FleetSimulation::perform(std::size_t index, const StoreFeedActions& actions)
{
    for (const StoreFeedAction& action : actions) {
        const std::uint64_t incarnation = incarnations_[index];
        const auto ifAlive = [this, index, incarnation](std::function<void()> then) {
            return [this, index, incarnation, then = std::move(then)] {
                if (incarnations_[index] == incarnation && !balancers_[index].isFrozen)
                    then();
            };
        };
        if (const auto* received = std::get_if<DeltaReceived>(&action)) {
            perform(index, balancers_[index].sync->handleStoreDelta(received->delta, now(), received->isForOthers));
        } else if (const auto* list = std::get_if<SendList>(&action)) {
            const bool mayBeStale = list->call.mayBeStale;
            schedule(storeLatency, ifAlive([this, index, mayBeStale] { answerList(index, mayBeStale); }));
        } else if (const auto* watch = std::get_if<SendWatch>(&action)) {
            schedule(storeLatency, ifAlive([this, index, watch = *watch, until = now() + watch->call.wait] {
                answerWatch(index, watch, until);
            }));
        }
    }
}

void FleetSimulation::serveStaleListings(bool isStale) { stalePage_ = isStale ? std::optional(page()) : std::nullopt; }

PlatformPage FleetSimulation::page() const
{
    PlatformPage page;
    page.revision = revision_;
    page.era = era_;
    for (const auto& [key, item] : items_)
        page.items.push_back(item);
    return page;
}

void FleetSimulation::answerList(std::size_t index, bool mayBeStale)
{
    Balancer& balancer = balancers_[index];
    ++storeCalls_;
    if (isStoreDown || balancer.isRejectedByStore)
        return perform(index, balancer.feed->handlePage(Error { ErrorCode::Unavailable, "status 503" }, now()));
    perform(index, balancer.feed->handlePage(mayBeStale && stalePage_ ? *stalePage_ : page(), now()));
}

void FleetSimulation::answerWatch(std::size_t index, const SendWatch& watch, TimePoint until)
{
    Balancer& balancer = balancers_[index];
    const auto answer = [&](const Result<PlatformChanges>& changes) {
        ++storeCalls_;
        perform(index, balancer.feed->handleChanges(watch.number, changes, now()));
    };
    if (isStoreDown || balancer.isRejectedByStore)
        return answer(Error { ErrorCode::Unavailable, "status 503" });
    if (watch.call.revision < compactedRevision_ || watch.call.revision > revision_)
        return answer(Error { ErrorCode::NotFound, "history" });
    PlatformChanges changes { {}, revision_, era_ };
    for (const PlatformItem& item : history_) {
        if (item.revision > watch.call.revision)
            changes.items.push_back(item);
    }
    if (!changes.items.empty() || now() >= until)
        return answer(changes);
    const std::uint64_t incarnation = incarnations_[index];
    schedule(watchPollInterval, [this, index, watch, until, incarnation] {
        if (incarnations_[index] == incarnation && !balancers_[index].isFrozen)
            answerWatch(index, watch, until);
    });
}

void FleetSimulation::perform(std::size_t index, const ReplicaSyncActions& actions)
{
    for (const ReplicaSyncAction& action : actions) {
        const BalancerId self = balancers_[index].id;
        if (const auto* changed = std::get_if<ReplicaChanged>(&action)) {
            apply(balancers_[index], *changed);
            perform(index, balancers_[index].sync->handleApplied());
        } else if (const auto* request = std::get_if<RequestRevision>(&action)) {
            if (isLost())
                continue;
            schedule(messageLatency, [this, self, to = request->to] {
                for (std::size_t other = 0; other < balancers_.size(); ++other) {
                    if (balancers_[other].id.value == to.address && !balancers_[other].isFrozen)
                        perform(other, balancers_[other].sync->handleRevisionRequest(self, { self.value, 0 }));
                }
            });
        } else if (const auto* push = std::get_if<PushDelta>(&action)) {
            if (isLost())
                continue;
            schedule(messageLatency, [this, self, push = *push] {
                for (std::size_t to = 0; to < balancers_.size(); ++to) {
                    if (balancers_[to].id.value != push.to.address || balancers_[to].isFrozen)
                        continue;
                    ReplicaSync& sync = *balancers_[to].sync;
                    perform(to,
                        push.relay ? sync.handleRelay(*push.relay, push.piece, now())
                                   : sync.handlePush(self, push.piece->delta, now()));
                }
            });
        } else if (const auto* fetch = std::get_if<FetchDelta>(&action)) {
            const bool isAnswered = !isLost();
            ++fetches_;
            const std::uint64_t incarnation = incarnations_[index];
            schedule(2 * messageLatency, [this, index, incarnation, fetch = *fetch, isAnswered] {
                Balancer& asking = balancers_[index];
                if (incarnations_[index] != incarnation || asking.isFrozen)
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

void FleetSimulation::apply(Balancer& balancer, const ReplicaChanged& change)
{
    for (const StoreUpdate& item : change.items) {
        ++appliedUpdates_;
        if (item.key == "configuration") {
            balancer.router->applyConfiguration(configurations_.at(std::stoull(item.value)));
            regressions_ += balancer.router->configurationVersion() < balancer.newestVersion;
            balancer.newestVersion = balancer.router->configurationVersion();
        } else if (item.key.starts_with("empty ")) {
            const std::string zone = item.key.substr(6);
            if (change.entersEra)
                balancer.router->setZoneEvacuationInDoubt(zone, !item.isRemoved, item.revision, now());
            else
                balancer.router->setZoneEvacuation(zone, !item.isRemoved, item.revision, now());
        } else if (item.isRemoved) {
            balancer.router->removeServer(item.key.substr(7), change.isInDoubt, now());
        } else {
            const EntryAge age = change.entersEra ? EntryAge::Past : EntryAge::Newest;
            balancer.router->putServer(servers_.at(item.value), item.revision, now(), age);
        }
    }
}

}
