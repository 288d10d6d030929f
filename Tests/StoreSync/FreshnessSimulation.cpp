#include "StoreSync/FreshnessSimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // One way.
    constexpr auto storeLatency = 10ms;
    // How old a listing that may be stale is.
    constexpr auto listingAge = 2s;
    constexpr Duration tickInterval = MembershipSettings().maxTickPeriod();
    // The forwarder does not tick more often.
    constexpr Duration minTickInterval = 5ms;
    constexpr std::size_t seeds = 3;
    constexpr WatcherCounts watcherCounts { 1, 3, 3 };

}

std::size_t FreshnessSimulation::add(const std::string& zone, bool isEarlierVersion)
{
    const std::size_t index = balancers_.size();
    Balancer& balancer = balancers_.emplace_back();
    const auto host = static_cast<std::uint32_t>(firstHost + index);
    balancer.self.name = fmt::format("{}-{}", zone, index);
    balancer.self.id = balancerIdOf(balancer.self.name);
    balancer.self.availabilityZone = zone;
    balancer.self.peerAddress = { host, 7000 };
    balancer.self.requestAddress = { host, 7000 };
    balancer.self.incarnation = 1'790'000'000'000 + index;
    balancer.isEarlierVersion = isEarlierVersion;
    balancer.isAlive = true;
    balancer.membership = std::make_unique<Membership>(MembershipSettings(), balancer.self, random_(), now());
    balancer.role = std::make_unique<WatcherRole>(WatcherRoleSettings { .counts = watcherCounts });
    StoreFeedSettings feedSettings;
    feedSettings.confirmsAtOnce = bound_.count() > 0 && !isEarlierVersion;
    balancer.feed = std::make_unique<StoreFeed>(random_(), feedSettings);
    balancer.sync = std::make_unique<ReplicaSync>(zone, random_());
    if (!isEarlierVersion) {
        balancer.freshness
            = std::make_unique<ReplicaFreshness>(zone, random_(), ReplicaFreshnessSettings { .maxStaleness = bound_ });
    }
    VmListReceived list;
    for (std::size_t seed = 0; seed < seeds; ++seed) {
        if (seed != index)
            list.vms.push_back({ { static_cast<std::uint32_t>(firstHost + seed), 7000 }, false });
    }
    balancer.role->start(true, now());
    perform(index, balancer.feed->start(now()));
    perform(index, balancer.membership->handle(list, now()));
    perform(index, balancer.membership->setSelfState(MemberState::Serving, now()));
    scheduleFor(index, std::chrono::microseconds(random_() % 100'000), [this, index] { tick(index); });
    return index;
}

void FreshnessSimulation::kill(std::size_t index)
{
    balancers_[index].isAlive = false;
    ++balancers_[index].life;
}

void FreshnessSimulation::stop(std::size_t index)
{
    balancers_[index].isStopping = true;
    perform(index, balancers_[index].membership->leave(now()));
}

bool FreshnessSimulation::isWatcher(std::size_t index) const
{
    const Balancer& balancer = balancers_[index];
    return balancer.isAlive && !balancer.isStopping && balancer.role->isWatcher(*balancer.membership, now());
}

std::vector<std::size_t> FreshnessSimulation::watchersOf(const std::string& zone) const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        if (balancers_[i].self.availabilityZone == zone && isWatcher(i))
            found.push_back(i);
    }
    return found;
}

std::uint64_t FreshnessSimulation::storeCalls() const
{
    std::uint64_t sum = 0;
    for (const Balancer& balancer : balancers_)
        sum += balancer.storeCalls;
    return sum;
}

std::uint64_t FreshnessSimulation::questions() const
{
    std::uint64_t sum = 0;
    for (const Balancer& balancer : balancers_)
        sum += balancer.questions;
    return sum;
}

void FreshnessSimulation::schedule(Duration delay, std::function<void()> action)
{
    events_.push({ now() + delay, ++scheduled_, std::move(action) });
}

void FreshnessSimulation::scheduleFor(std::size_t index, Duration delay, std::function<void()> action)
{
    schedule(delay, [this, index, life = balancers_[index].life, action = std::move(action)] {
        if (balancers_[index].life == life)
            action();
    });
}

void FreshnessSimulation::advance(Duration time)
{
    const TimePoint end = now() + time;
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        clock_.advance(event.at - now());
        event.action();
    }
    clock_.advance(end - now());
}

void FreshnessSimulation::deliver(std::size_t from, const Endpoint& address, std::function<void(std::size_t)> action)
{
    const std::size_t to = indexOf(address);
    const bool isLost = std::uniform_real_distribution<>()(random_) < lossRate;
    if (to >= balancers_.size() || !balancers_[to].isAlive || isLost || (isCut && isCut(from, to)))
        return;
    scheduleFor(to, latency(), [to, action = std::move(action)] { action(to); });
}

// The order of Forwarder::tickSync().
void FreshnessSimulation::tick(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    ++balancer.ticks;
    const bool watches = isWatcher(index);
    const bool isUnreachable = balancer.feed->isUnreachable();
    balancer.sync->setRole(watches, isUnreachable);
    const MemberState state = watches && isUnreachable ? MemberState::Detached : MemberState::Serving;
    if (!balancer.isStopping)
        perform(index, balancer.membership->setSelfState(state, now()));
    perform(index, balancer.membership->setConfigurationVersion(balancer.sync->servedRevision(), now()));
    perform(index, balancer.membership->tick(now()));
    perform(index, balancer.sync->tick(now()));
    perform(index, balancer.feed->update(revisionOf(index), isWatcher(index), balancer.sync->behindSince(), now()));
    perform(index, balancer.feed->tick(now()));
    Duration next = tickInterval;
    if (balancer.freshness) {
        const StoreContact contact { balancer.feed->answeredAt(now()), balancer.feed->isUnreachable() };
        perform(index, balancer.freshness->tick(revisionOf(index), isWatcher(index), contact, now()));
        if (const auto due = balancer.freshness->nextTick())
            next = std::clamp(Duration(*due - now()), minTickInterval, tickInterval);
    }
    scheduleFor(index, next, [this, index] { tick(index); });
}

void FreshnessSimulation::perform(std::size_t index, const MembershipActions& actions)
{
    for (const MembershipAction& action : actions) {
        if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
            const PeerMessageReceived received { balancers_[index].self.peerAddress, message->envelope };
            deliver(index, message->to,
                [this, received](std::size_t to) { perform(to, balancers_[to].membership->handle(received, now())); });
            continue;
        }
        const auto& view = std::get<MembersViewChanged>(action).view;
        if (balancers_[index].freshness)
            balancers_[index].freshness->handleView(view);
        perform(index, balancers_[index].sync->handleView(view, now()));
    }
}

std::optional<Error> FreshnessSimulation::failureOf(const Balancer& balancer) const
{
    if (store == StoreState::Down || balancer.isRejectedByStore)
        return Error { ErrorCode::Unavailable, "status 503" };
    return std::nullopt;
}

void FreshnessSimulation::perform(std::size_t index, const StoreFeedActions& actions)
{
    for (const StoreFeedAction& action : actions) {
        Balancer& balancer = balancers_[index];
        if (const auto* received = std::get_if<DeltaReceived>(&action)) {
            perform(index, balancer.sync->handleStoreDelta(received->delta, now(), received->isForOthers));
        } else if (const auto* asked = std::get_if<StoreAsked>(&action)) {
            perform(index, balancer.freshness->handleStoreAnswer(asked->isAnswered, revisionOf(index), now()));
        } else if (const auto* list = std::get_if<SendList>(&action)) {
            ++balancer.storeCalls;
            const TimePoint at = now() - (list->call.mayBeStale ? Duration(listingAge) : Duration::zero());
            const bool isSilent = isSilentFor(balancer);
            scheduleFor(index, isSilent ? Duration(list->timeout) : 2 * storeLatency, [this, index, at, isSilent] {
                Balancer& target = balancers_[index];
                const auto failure = isSilent ? Error { ErrorCode::DeadlineExceeded, "timeout" } : failureOf(target);
                perform(index,
                    target.feed->handlePage(
                        failure ? Result<PlatformPage>(*failure) : Result<PlatformPage>(pageAt(at)), now()));
            });
        } else if (const auto* call = std::get_if<SendWatch>(&action)) {
            ++balancer.storeCalls;
            const Watch watch { index, balancer.life, *call };
            if (isSilentFor(balancer)) {
                scheduleFor(index, call->timeout, [this, watch] {
                    perform(watch.balancer,
                        balancers_[watch.balancer].feed->handleChanges(
                            watch.call.number, Error { ErrorCode::DeadlineExceeded, "timeout" }, now()));
                });
                continue;
            }
            watches_.push_back(watch);
            const bool hasChanges = !writes_.empty() && writes_.back().item.revision > call->call.revision;
            const bool isFailure = failureOf(balancer).has_value();
            schedule(hasChanges || isFailure ? Duration(storeLatency) : storeLatency + call->call.wait,
                [this, watch] { answer(watch); });
        }
    }
}

void FreshnessSimulation::answer(const Watch& watch)
{
    const auto found = std::ranges::find_if(watches_, [&](const Watch& open) {
        return open.balancer == watch.balancer && open.life == watch.life && open.call.number == watch.call.number;
    });
    if (found == watches_.end())
        return;
    watches_.erase(found);
    // An answer that the balancer does not get shows as the watch's timeout, as a connection that stays open.
    if (balancers_[watch.balancer].life != watch.life)
        return;
    const bool isSilent = isSilentFor(balancers_[watch.balancer]);
    Result<PlatformChanges> changes = PlatformChanges { {}, writes_.empty() ? 1 : writes_.back().item.revision, 0 };
    if (isSilent) {
        changes = Error { ErrorCode::DeadlineExceeded, "timeout" };
    } else if (const auto failure = failureOf(balancers_[watch.balancer])) {
        changes = *failure;
    } else {
        for (const Write& write : writes_) {
            if (write.item.revision > watch.call.call.revision)
                changes.value().items.push_back(write.item);
        }
    }
    scheduleFor(watch.balancer, isSilent ? Duration(700ms) : Duration(storeLatency), [this, watch, changes] {
        perform(watch.balancer, balancers_[watch.balancer].feed->handleChanges(watch.call.number, changes, now()));
    });
}

PlatformPage FreshnessSimulation::pageAt(TimePoint at) const
{
    PlatformPage page;
    page.revision = 1;
    std::map<std::string, PlatformItem> items;
    for (const Write& write : writes_) {
        if (write.at > at)
            break;
        items[write.item.key] = write.item;
        page.revision = write.item.revision;
    }
    for (const auto& [key, item] : items)
        page.items.push_back(item);
    return page;
}

std::uint64_t FreshnessSimulation::write(const std::string& key, const std::string& value)
{
    const std::uint64_t revision = writes_.empty() ? 2 : writes_.back().item.revision + 1;
    writes_.push_back({ now(), { key, value, revision, false } });
    for (const Watch& watch : watches_)
        schedule(Duration::zero(), [this, watch] { answer(watch); });
    return revision;
}

void FreshnessSimulation::perform(std::size_t index, const ReplicaSyncActions& actions)
{
    for (const ReplicaSyncAction& action : actions) {
        const BalancerId self = balancers_[index].self.id;
        if (const auto* push = std::get_if<PushDelta>(&action)) {
            deliver(index, push->to, [this, self, push = *push](std::size_t to) {
                ReplicaSync& sync = *balancers_[to].sync;
                perform(to,
                    push.relay ? sync.handleRelay(*push.relay, push.piece, now())
                               : sync.handlePush(self, push.piece->delta, now()));
            });
        } else if (const auto* fetch = std::get_if<FetchDelta>(&action)) {
            this->fetch(index, *fetch);
        } else if (const auto* request = std::get_if<RequestRevision>(&action)) {
            deliver(index, request->to, [this, self, from = balancers_[index].self.peerAddress](std::size_t to) {
                answerRequest(to, self, from, false);
            });
        } else if (std::holds_alternative<ReplicaChanged>(action)) {
            perform(index, balancers_[index].sync->handleApplied());
        }
    }
}

void FreshnessSimulation::answerRequest(std::size_t index, BalancerId sender, const Endpoint& address, bool wantsAge)
{
    Balancer& balancer = balancers_[index];
    if (wantsAge && balancer.freshness && balancer.freshness->isEnabled())
        perform(index, balancer.freshness->handleRequest(address, now()));
    else
        perform(index, balancer.sync->handleRevisionRequest(sender, address));
}

// The connection to a balancer that has ended stays silent.
void FreshnessSimulation::fetch(std::size_t index, const FetchDelta& fetch)
{
    const std::size_t source = indexOf(fetch.address);
    if (!balancers_[source].isAlive || (isCut && (isCut(index, source) || isCut(source, index))))
        return;
    scheduleFor(source, 2 * latency(), [this, index, source, fetch, life = balancers_[index].life] {
        const StoreDelta delta = balancers_[source].sync->replica().deltaSince(fetch.after, now(), fetch.encoding);
        schedule(latency(), [this, index, source, delta, life] {
            if (balancers_[index].life == life)
                perform(index, balancers_[index].sync->handleAnswer(balancers_[source].self.name, delta, now()));
        });
    });
}

void FreshnessSimulation::perform(std::size_t index, const ReplicaFreshnessActions& actions)
{
    for (const ReplicaFreshnessAction& action : actions) {
        const BalancerId self = balancers_[index].self.id;
        if (const auto* message = std::get_if<SendHeartbeat>(&action)) {
            deliver(index, message->to, [this, self, heartbeat = message->heartbeat](std::size_t to) {
                if (!balancers_[to].freshness)
                    return;
                ++balancers_[to].heartbeats;
                perform(to, balancers_[to].freshness->handleHeartbeat(self, heartbeat, now()));
            });
        } else if (const auto* peer = std::get_if<AskPeer>(&action)) {
            deliver(index, peer->to, [this, self, from = balancers_[index].self.peerAddress](std::size_t to) {
                answerRequest(to, self, from, true);
            });
        } else if (const auto* question = std::get_if<AskStore>(&action)) {
            ++balancers_[index].questions;
            perform(index, balancers_[index].feed->askForChanges(question->timeout, now()));
        } else if (const auto* heard = std::get_if<RevisionHeard>(&action)) {
            perform(
                index, balancers_[index].sync->handleRevision(heard->sender, heard->revision, heard->isAnswer, now()));
        } else if (std::holds_alternative<ReplicaStale>(action)) {
            ++balancers_[index].staleLogs;
        } else {
            ++balancers_[index].freshLogs;
        }
    }
}

}
