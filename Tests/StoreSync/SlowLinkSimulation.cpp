#include "StoreSync/SlowLinkSimulation.h"

#include "Peers/ConfigurationWatchers.h"
#include "StoreSync/CompressedValue.h"
#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto stepTime = 5ms;
    constexpr auto tickPeriod = 250ms;
    constexpr auto unsyncedTickPeriod = 100ms;
    constexpr auto awaitingReadersTickPeriod = 20ms;
    // Processes that are restarted together begin within this time.
    constexpr auto startSpread = 60ms;
    constexpr auto messageLatency = 2ms;
    constexpr double bytesPerMegabit = 1e6 / 8;
    // The store's link, which all balancers share.
    constexpr double storeMegabits = 1000;
    // Items in a page of a listing.
    constexpr std::size_t maxPageItems = 500;
    // Overhead in bytes of a datagram, of an answer, and of each item in an answer of the store.
    constexpr double datagramOverhead = 80;
    constexpr double answerOverhead = 300;
    constexpr double itemOverhead = 120;
    constexpr WatcherCounts watcherCounts { 1, 1, 3 };

    const std::string configurationKey = "configuration";

    // Entries name their zone. All other keys concern every zone.
    bool isOfOwnZone(const StoreUpdate& update)
    {
        return !update.key.starts_with("servers/") || update.value.find(R"("zone":"walu")") != std::string::npos;
    }

    // The store encodes values as base64.
    double sizeOf(const std::vector<PlatformItem>& items)
    {
        double bytes = answerOverhead;
        for (const PlatformItem& item : items)
            bytes += itemOverhead + static_cast<double>(item.value.size()) * 4 / 3;
        return bytes;
    }

}

std::string configurationText(std::uint64_t version, std::size_t routes, std::size_t changed)
{
    std::string text = fmt::format(R"({{"version":{},"routes":[)", version);
    for (std::size_t i = 0; i < routes; ++i) {
        const auto number = static_cast<std::uint32_t>(i);
        const bool isChanged = i >= routes / 2 && i < routes / 2 + changed;
        text += fmt::format(R"({}{{"name":"r-{:08x}","hostname":"198.18.{}.{}","prefix":"/443/","type":"idempotent",)",
            i == 0 ? "" : ",", number * 2654435761U, number / 250, number % 250);
        text
            += fmt::format(R"("timeoutMs":{},"targetLatencyMs":250,"priority":2,"service":"streams","maxAttempts":2}})",
                isChanged ? 1500 + version : 1500);
    }
    return text + R"(],"services":[{"name":"streams","healthPath":"/health"}],"limits":{"idleTimeoutMs":15000}})";
}

SlowLinkSimulation::SlowLinkSimulation(std::uint32_t seed, const std::vector<Link>& links)
    : random_(seed)
{
    setStoreMegabits(storeMegabits);
    for (const Link& link : links) {
        for (std::size_t i = 0; i < link.balancers; ++i) {
            Balancer balancer;
            Member& member = balancer.member;
            member.name = fmt::format("zone-{}", balancers_.size());
            member.id = balancerIdOf(member.name);
            member.availabilityZone = "zone";
            member.state = MemberState::Serving;
            member.peerAddress = { static_cast<std::uint32_t>(balancers_.size() + 1), 7000 };
            member.requestAddress = member.peerAddress;
            member.linkMegabits = link.megabitsPerSecond;
            balancer.bytesPerSecond = link.megabitsPerSecond * bytesPerMegabit;
            balancers_.push_back(std::move(balancer));
        }
    }
    for (std::size_t i = 0; i < balancers_.size(); ++i)
        start(i);
}

void SlowLinkSimulation::setStoreMegabits(double megabitsPerSecond)
{
    storeBytesPerSecond_ = megabitsPerSecond * bytesPerMegabit;
}

void SlowLinkSimulation::start(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    ++balancer.incarnation;
    StoreFeedSettings settings;
    settings.linkMegabits = balancer.member.linkMegabits;
    balancer.feed = std::make_unique<StoreFeed>(random_(), settings);
    balancer.sync = std::make_unique<ReplicaSync>("zone", random_());
    balancer.version = 0;
    balancer.receivedAt.clear();
    balancer.gossipedRevision = 0;
    balancer.queuedDatagramBytes = 0;
    balancer.nextTick = clock_.now() + random_() % startSpread.count() * 1ms;
    perform(index, balancer.feed->start(clock_.now()));
}

void SlowLinkSimulation::restartAll()
{
    transfers_.clear();
    datagrams_.clear();
    watches_.clear();
    for (std::size_t i = 0; i < balancers_.size(); ++i)
        start(i);
}

void SlowLinkSimulation::put(PlatformItem item)
{
    item.revision = ++revision_;
    items_[item.key] = std::move(item);
}

void SlowLinkSimulation::writeConfiguration(std::uint64_t version, const std::string& text)
{
    texts_[version] = text;
    writtenAt_[version] = clock_.now();
    put({ configurationKey, text });
}

void SlowLinkSimulation::write(const std::string& key, const std::string& value) { put({ key, value }); }

std::optional<Duration> SlowLinkSimulation::slowestArrival(std::uint64_t version) const
{
    Duration longest {};
    for (const Balancer& balancer : balancers_) {
        const auto newer = balancer.receivedAt.lower_bound(version);
        if (newer == balancer.receivedAt.end())
            return std::nullopt;
        TimePoint first = TimePoint::max();
        for (auto row = newer; row != balancer.receivedAt.end(); ++row)
            first = std::min(first, row->second);
        longest = std::max(longest, first - writtenAt_.at(version));
    }
    return longest;
}

std::size_t SlowLinkSimulation::configuredBalancers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(balancers_, [](const Balancer& balancer) { return balancer.version > 0; }));
}

std::size_t SlowLinkSimulation::balancersBehind() const
{
    return static_cast<std::size_t>(std::ranges::count_if(balancers_, [this](const Balancer& balancer) {
        return balancer.sync->replica().completeTo() < revisionInEra(era_, revision_);
    }));
}

std::size_t SlowLinkSimulation::balancersWithoutOwnZone() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(balancers_, [](const Balancer& balancer) { return !balancer.sync->hasOwnZone(); }));
}

std::uint64_t SlowLinkSimulation::takeMaxPeerBytes()
{
    std::uint64_t most = 0;
    for (Balancer& balancer : balancers_)
        most = std::max(most, std::exchange(balancer.peerBytes, 0));
    return most;
}

void SlowLinkSimulation::advance(Duration time)
{
    const TimePoint end = clock_.now() + time;
    while (clock_.now() < end)
        step();
}

void SlowLinkSimulation::step()
{
    clock_.advance(stepTime);
    moveBytes();
    deliverDatagrams();
    answerWatches();
    gossipRevisions();
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        if (clock_.now() < balancers_[i].nextTick)
            continue;
        tickBalancer(i);
        balancers_[i].nextTick += tickPeriodOf(balancers_[i]);
    }
}

Duration SlowLinkSimulation::tickPeriodOf(const Balancer& balancer)
{
    if (balancer.sync->hasOwnZone())
        return tickPeriod;
    return balancer.feed->isAwaitingReaders() ? awaitingReadersTickPeriod : unsyncedTickPeriod;
}

// Each transfer gets the lesser of an equal share of its sender's link and one of its receiver's.
void SlowLinkSimulation::moveBytes()
{
    const double seconds = std::chrono::duration<double>(stepTime).count();
    std::vector<double> sending(balancers_.size());
    std::vector<double> receiving(balancers_.size());
    double fromStore = 0;
    for (const Transfer& transfer : transfers_) {
        ++(transfer.from ? sending[*transfer.from] : fromStore);
        receiving[transfer.to] += !transfer.isCancelled;
    }
    for (Balancer& balancer : balancers_)
        balancer.queuedDatagramBytes = std::max(0.0, balancer.queuedDatagramBytes - balancer.bytesPerSecond * seconds);
    std::vector<Transfer> arrived;
    for (Transfer& transfer : transfers_) {
        Balancer& receiver = balancers_[transfer.to];
        double rate = transfer.isCancelled ? storeBytesPerSecond_ : receiver.bytesPerSecond / receiving[transfer.to];
        if (transfer.from)
            rate = std::min(rate, balancers_[*transfer.from].bytesPerSecond / sending[*transfer.from]);
        else
            rate = std::min(rate, storeBytesPerSecond_ / fromStore);
        const double moved = std::min(transfer.bytesLeft, rate * seconds);
        transfer.bytesLeft -= moved;
        transfer.hasMoved = true;
        if (transfer.from) {
            receiver.peerBytes += static_cast<std::uint64_t>(moved);
            balancers_[*transfer.from].peerBytes += static_cast<std::uint64_t>(moved);
        }
    }
    std::erase_if(transfers_, [&](Transfer& transfer) {
        const bool isComplete = transfer.bytesLeft <= 0;
        if (isComplete)
            arrived.push_back(std::move(transfer));
        return isComplete;
    });
    for (Transfer& transfer : arrived)
        deliver(std::move(transfer));
}

void SlowLinkSimulation::deliver(Transfer transfer)
{
    Balancer& balancer = balancers_[transfer.to];
    if (transfer.incarnation != balancer.incarnation || transfer.isCancelled)
        return;
    if (transfer.page)
        perform(transfer.to, balancer.feed->handlePage(*transfer.page, clock_.now()));
    else if (transfer.changes)
        perform(transfer.to, balancer.feed->handleChanges(transfer.watchNumber, *transfer.changes, clock_.now()));
    else
        perform(transfer.to,
            balancer.sync->handleAnswer(balancers_[*transfer.from].member.name, *transfer.delta, clock_.now()));
}

void SlowLinkSimulation::restoreStore(const StoreCopy& copy)
{
    items_ = copy.items;
    revision_ = copy.revision;
    ++era_;
}

void SlowLinkSimulation::deliverDatagrams()
{
    std::vector<Datagram> due;
    std::erase_if(datagrams_, [&](Datagram& datagram) {
        const bool isDue = datagram.at <= clock_.now();
        if (isDue)
            due.push_back(std::move(datagram));
        return isDue;
    });
    for (const Datagram& datagram : due) {
        const Member& from = balancers_[datagram.from].member;
        const BalancerId sender = from.id;
        ReplicaSync& sync = *balancers_[datagram.to].sync;
        if (!datagram.push) {
            perform(datagram.to, sync.handleRevisionRequest(sender, from.peerAddress));
            continue;
        }
        const PushDelta& push = *datagram.push;
        perform(datagram.to,
            push.relay ? sync.handleRelay(*push.relay, push.piece, clock_.now())
                       : sync.handlePush(sender, push.piece->delta, clock_.now()));
    }
}

void SlowLinkSimulation::answerWatches()
{
    std::vector<Watch> waiting = std::exchange(watches_, {});
    for (Watch& watch : waiting) {
        if (watch.incarnation != balancers_[watch.balancer].incarnation)
            continue;
        if (watch.call.call.revision < droppedTo_ || watch.call.call.revision > revision_) {
            perform(watch.balancer,
                balancers_[watch.balancer].feed->handleChanges(
                    watch.call.number, Error { ErrorCode::NotFound, "history dropped" }, clock_.now()));
            continue;
        }
        PlatformChanges changes { {}, revision_, era_ };
        for (const auto& [key, item] : items_) {
            if (item.revision > watch.call.call.revision)
                changes.items.push_back(item);
        }
        if (changes.items.empty() && clock_.now() < watch.until) {
            watches_.push_back(std::move(watch));
            continue;
        }
        Transfer transfer;
        transfer.to = watch.balancer;
        transfer.incarnation = watch.incarnation;
        transfer.bytesLeft = sizeOf(changes.items);
        transfer.watchNumber = watch.call.number;
        transfer.changes = std::move(changes);
        transfers_.push_back(std::move(transfer));
    }
}

// Runs the periodic work of the daemon.
void SlowLinkSimulation::tickBalancer(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    const TimePoint now = clock_.now();
    const auto view = viewOf(index);
    perform(index, balancer.sync->handleView(view, now));
    for (Transfer& transfer : transfers_) {
        if (transfer.to == index && transfer.isFetch && std::exchange(transfer.hasMoved, false))
            balancer.sync->noteFetchProgress(now);
    }
    balancer.feed->setBetterReaders(balancer.sync->knowsBetterReaders() ? BetterReaders::Known : BetterReaders::None);
    reportListingProgress(index);
    balancer.sync->setFetchesImmediately(balancer.feed->asksPeers());
    perform(index, balancer.sync->tick(now));
    const bool isWatcher = isConfigurationWatcher(*view, watcherCounts);
    balancer.sync->setRole(isWatcher, balancer.feed->isUnreachable());
    perform(index,
        balancer.feed->update(balancer.sync->replica().completeTo(), isWatcher, balancer.sync->behindSince(), now));
    perform(index, balancer.feed->tick(now));
}

void SlowLinkSimulation::reportListingProgress(std::size_t index)
{
    const auto listing = std::ranges::find_if(transfers_,
        [&](const Transfer& transfer) { return transfer.to == index && transfer.page && !transfer.isCancelled; });
    if (listing == transfers_.end())
        return;
    const auto received = static_cast<std::uint64_t>(listing->bytes - listing->bytesLeft);
    const auto total = static_cast<std::uint64_t>(listing->bytes);
    Balancer& balancer = balancers_[index];
    perform(index, balancer.feed->handlePageProgress(received, total, clock_.now()));
}

void SlowLinkSimulation::gossipRevisions()
{
    if (clock_.now() < nextGossip_)
        return;
    nextGossip_ = clock_.now() + gossipInterval_;
    for (Balancer& balancer : balancers_)
        balancer.gossipedRevision = balancer.sync->replica().completeTo();
}

std::shared_ptr<const MembersView> SlowLinkSimulation::viewOf(std::size_t index) const
{
    auto view = std::make_shared<MembersView>();
    view->self = balancers_[index].member.id;
    view->members.reserve(balancers_.size());
    for (const Balancer& balancer : balancers_) {
        view->members.push_back(balancer.member);
        view->members.back().configurationVersion = balancer.gossipedRevision;
    }
    std::ranges::sort(view->members, {}, &Member::id);
    return view;
}

PlatformPage SlowLinkSimulation::pageAfter(const std::string& key) const
{
    PlatformPage page { {}, false, revision_, era_ };
    for (auto row = items_.upper_bound(key); row != items_.end(); ++row) {
        if (page.items.size() == maxPageItems) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(row->second);
    }
    return page;
}

double SlowLinkSimulation::answerSize(const FetchDelta& fetch, const StoreDelta& delta)
{
    const auto [row, isNew] = answerSizes_.try_emplace({ fetch.after, delta.to, fetch.scope });
    if (isNew) {
        const std::vector<std::uint8_t> bytes = encodeMessage(delta);
        row->second
            = static_cast<double>(compressBytes({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }).size());
    }
    return row->second;
}

std::size_t SlowLinkSimulation::indexOf(BalancerId id) const
{
    const auto found = std::ranges::find(balancers_, id, [](const Balancer& balancer) { return balancer.member.id; });
    return static_cast<std::size_t>(found - balancers_.begin());
}

void SlowLinkSimulation::perform(std::size_t index, const StoreFeedActions& actions)
{
    Balancer& balancer = balancers_[index];
    for (const StoreFeedAction& action : actions) {
        if (const auto* received = std::get_if<DeltaReceived>(&action)) {
            perform(index, balancer.sync->handleStoreDelta(received->delta, clock_.now()));
        } else if (const auto* list = std::get_if<SendList>(&action)) {
            Transfer transfer;
            transfer.to = index;
            transfer.incarnation = balancer.incarnation;
            transfer.page = pageAfter(list->call.after);
            transfer.bytes = sizeOf(transfer.page->items);
            transfer.bytesLeft = transfer.bytes;
            transfers_.push_back(std::move(transfer));
        } else if (std::holds_alternative<CancelListing>(action)) {
            // The store has sent the whole answer, which still takes its link.
            for (Transfer& transfer : transfers_)
                transfer.isCancelled = transfer.isCancelled || (transfer.to == index && transfer.page);
        } else if (const auto* watch = std::get_if<SendWatch>(&action)) {
            watches_.push_back({ index, balancer.incarnation, *watch, clock_.now() + watch->call.wait });
        }
    }
}

void SlowLinkSimulation::perform(std::size_t index, const ReplicaSyncActions& actions)
{
    Balancer& balancer = balancers_[index];
    for (const ReplicaSyncAction& action : actions) {
        if (const auto* changed = std::get_if<ReplicaChanged>(&action)) {
            apply(index, *changed);
            perform(index, balancer.sync->handleApplied());
        } else if (const auto* request = std::get_if<RequestRevision>(&action)) {
            datagrams_.push_back({ clock_.now() + messageLatency, index, request->to.address - 1, std::nullopt });
        } else if (const auto* push = std::get_if<PushDelta>(&action)) {
            const double bytes = datagramOverhead + static_cast<double>(push->piece->bytes.size());
            const std::size_t to = push->to.address - 1;
            balancer.queuedDatagramBytes += bytes;
            balancer.peerBytes += static_cast<std::uint64_t>(bytes);
            balancers_[to].peerBytes += static_cast<std::uint64_t>(bytes);
            const auto queueDelay
                = std::chrono::duration<double>(balancer.queuedDatagramBytes / balancer.bytesPerSecond);
            const TimePoint at = clock_.now() + messageLatency + std::chrono::duration_cast<Duration>(queueDelay);
            datagrams_.push_back({ at, index, to, *push });
        } else if (const auto* wanted = std::get_if<FetchDelta>(&action)) {
            const FetchDelta& fetch = *wanted;
            // The daemon has one fetch at a time: a new one cancels the former.
            std::erase_if(
                transfers_, [&](const Transfer& transfer) { return transfer.isFetch && transfer.to == index; });
            Transfer transfer;
            transfer.from = indexOf(fetch.from);
            transfer.to = index;
            transfer.incarnation = balancer.incarnation;
            transfer.isFetch = true;
            const StoreReplica& replica = balancers_[*transfer.from].sync->replica();
            transfer.delta = fetch.scope == FetchScope::OwnZone
                ? replica.excerpt(isOfOwnZone, clock_.now())
                : replica.deltaSince(fetch.after, clock_.now(), fetch.encoding);
            transfer.bytesLeft = answerOverhead + answerSize(fetch, *transfer.delta);
            transfers_.push_back(std::move(transfer));
        }
    }
}

void SlowLinkSimulation::apply(std::size_t index, const ReplicaChanged& change)
{
    Balancer& balancer = balancers_[index];
    for (const StoreUpdate& item : change.items) {
        if (item.key != configurationKey)
            continue;
        const Result<std::string> text = plainValue(item);
        constexpr std::size_t beforeNumber = std::string_view(R"({"version":)").size();
        const std::uint64_t version = text ? std::stoull(text.value().substr(beforeNumber, 20)) : 0;
        const auto written = texts_.find(version);
        if (written == texts_.end() || written->second != text.value()) {
            ++corruptTexts_;
            continue;
        }
        balancer.version = version;
        balancer.receivedAt.emplace(version, clock_.now());
    }
}

}
