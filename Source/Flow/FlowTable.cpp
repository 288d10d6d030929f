#include "Flow/FlowTable.h"

#include <utility>

namespace wisteriadock {

namespace {

    // Prevents a forwarding loop between balancers that consider each other the arbiter. One hop reaches the arbiter, a
    // second one its successor.
    constexpr std::uint8_t maxHops = 2;

    // Exceptions expire after this multiple of the idle limit of other flows.
    constexpr std::uint32_t exceptionIdleFactor = 4;

    // A flow counts as active for this long after its last packet.
    constexpr std::uint32_t activeSeconds = 10;

    // Packets are sprayed over all balancers, so a flow with more packets than this is known to another balancer.
    constexpr std::uint32_t rarelySeenPackets = 8;
    constexpr std::uint32_t maxPacketCount = 255;

    constexpr std::uint32_t secondsMask = (1U << 24) - 1;

    std::uint32_t secondsOf(TimePoint now)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        return static_cast<std::uint32_t>(seconds) & secondsMask;
    }

    RouteDecision drop(DropReason reason, ServiceId service) { return { RouteKind::Drop, reason, {}, service, {} }; }

    RouteDecision forwardToArbiter(const RoutingState& routing, const FlowPacket& packet)
    {
        if (!routing.arbiterFlowAddress.isSet())
            return drop(DropReason::NoArbiter, routing.service);
        if (packet.hops >= maxHops)
            return drop(DropReason::TooManyHops, routing.service);
        return { RouteKind::ToBalancer, DropReason::None, routing.arbiterFlowAddress, routing.service, {} };
    }

    // The table by which this balancer routes an unknown flow of the bucket; null if it must not route it itself.
    const BucketTable* tableFor(const RoutingState& routing, BucketIndex bucket)
    {
        if (!routing.arbitratedBuckets.test(bucket))
            return routing.settledTable.get();
        return routing.isArbiter ? routing.arbiterTable.get() : nullptr;
    }

}

FlowTable::FlowTable(std::uint32_t shardCount, std::shared_ptr<FlowTrackingCounters> counters, bool tracksFlows)
    : counters_(std::move(counters))
    , tracksFlows_(tracksFlows)
{
    for (std::uint32_t i = 0; i < shardCount; ++i) {
        shards_.push_back(std::make_unique<Shard>());
        shards_.back()->routing = std::make_shared<RoutingState>();
    }
}

FlowTable::~FlowTable()
{
    counters_->tracked -= size();
    for (const auto& shard : shards_)
        counters_->exceptions -= shard->exceptions;
}

RouteDecision FlowTable::route(FlowKey key, const FlowPacket& packet, TimePoint now)
{
    Shard& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const RoutingState& routing = *shard.routing;
    if (!routing.directory)
        return drop(DropReason::NoBackendServer, routing.service);

    const auto known = shard.flows.find(key);
    if (known != shard.flows.end()) {
        const auto server = routing.directory->find(known->second.server);
        const bool present = server != routing.directory->end();
        // A client may reuse a port. If the packet starts a flow, an entry with a server that is not active belongs to
        // an earlier flow; following it would send new flows to a draining server.
        const bool isOldFlow = packet.startsFlow && present && server->second.state != BackendServerState::Active;
        if (present && !isOldFlow) {
            known->second.lastSeenSeconds = secondsOf(now);
            if (known->second.packets < maxPacketCount)
                ++known->second.packets;
            return { RouteKind::ToBackendServer, DropReason::None, server->second.flowAddress, routing.service,
                known->second.server };
        }
        shard.flows.erase(known);
        --counters_->tracked;
    }

    const BucketIndex bucket = bucketOf(key);
    const BucketTable* table = tableFor(routing, bucket);
    if (!table) {
        const RouteDecision decision
            = routing.isArbiter ? drop(DropReason::NoArbiter, routing.service) : forwardToArbiter(routing, packet);
        if (decision.kind == RouteKind::ToBalancer)
            counters_->forwardedPackets.fetch_add(1, std::memory_order_relaxed);
        return decision;
    }
    const auto server = routing.directory->find(table->at(bucket));
    if (server == routing.directory->end())
        return drop(DropReason::NoBackendServer, routing.service);
    track(shard, key, server->first, now);
    return { RouteKind::ToBackendServer, DropReason::None, server->second.flowAddress, routing.service, server->first };
}

void FlowTable::track(Shard& shard, FlowKey key, BackendServerId server, TimePoint now)
{
    if (!tracksFlows_)
        return;
    counters_->newFlows.fetch_add(1, std::memory_order_relaxed);
    // At the limit, a new flow is routed by the table without an entry, and breaks if its bucket moves to another
    // server. The counter shows operators the number of such flows.
    if (counters_->tracked.load(std::memory_order_relaxed) >= counters_->capacity) {
        counters_->untrackedNewFlows.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    counters_->tracked.fetch_add(1, std::memory_order_relaxed);
    shard.flows.emplace(key, Entry { server, secondsOf(now), 1 });
}

void FlowTable::install(const std::shared_ptr<const RoutingState>& routing)
{
    for (const auto& shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        shard->routing = routing;
    }
}

std::vector<KnownFlow> FlowTable::installAndCollect(
    const std::shared_ptr<const RoutingState>& routing, const BucketSet& buckets, const BucketTable& table)
{
    std::vector<KnownFlow> flows;
    for (const auto& shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        shard->routing = routing;
        collectFrom(*shard, buckets, table, flows);
    }
    return flows;
}

std::vector<KnownFlow> FlowTable::installAndCollectRarelySeen(const std::shared_ptr<const RoutingState>& routing)
{
    std::vector<KnownFlow> flows;
    for (const auto& shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        shard->routing = routing;
        for (const auto& [key, entry] : shard->flows) {
            if (entry.packets <= rarelySeenPackets)
                flows.push_back({ key, entry.server });
        }
    }
    return flows;
}

std::vector<KnownFlow> FlowTable::collect(const BucketSet& buckets, const BucketTable& table)
{
    std::vector<KnownFlow> flows;
    for (const auto& shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        collectFrom(*shard, buckets, table, flows);
    }
    return flows;
}

void FlowTable::collectFrom(
    const Shard& shard, const BucketSet& buckets, const BucketTable& table, std::vector<KnownFlow>& flows)
{
    for (const auto& [key, entry] : shard.flows) {
        const BucketIndex bucket = bucketOf(key);
        if (buckets.test(bucket) && table.at(bucket) != entry.server)
            flows.push_back({ key, entry.server });
    }
}

void FlowTable::learn(const std::vector<KnownFlow>& flows, TimePoint now)
{
    for (const KnownFlow& flow : flows) {
        Shard& shard = shardOf(flow.key);
        const std::lock_guard lock(shard.mutex);
        // Learned flows may be exceptions, for which no table gives the server, so the limit does not apply to them.
        const bool isNew = shard.flows.try_emplace(flow.key, Entry { flow.server, secondsOf(now), 0 }).second;
        if (isNew)
            ++counters_->tracked;
    }
}

std::size_t FlowTable::expire(std::size_t shardIndex, std::chrono::seconds idle, TimePoint now)
{
    Shard& shard = *shards_[shardIndex];
    const std::lock_guard lock(shard.mutex);
    const std::size_t scanned = shard.flows.size();
    const std::uint32_t nowSeconds = secondsOf(now);
    // A packet thread may have set a later second than the time of this tick. The difference would then wrap around,
    // and an active flow would count as idle for months.
    const auto idleFor = [nowSeconds](std::uint32_t lastSeen) {
        const std::uint32_t difference = (nowSeconds - lastSeen) & secondsMask;
        return difference > secondsMask / 2 ? 0 : difference;
    };
    const auto idleSeconds = static_cast<std::uint32_t>(idle.count());
    const BucketTable* settled = shard.routing->settledTable.get();
    shard.activeFlows.clear();
    std::size_t exceptions = 0;
    counters_->tracked -= absl::erase_if(shard.flows, [&](const auto& flow) {
        const bool isException = settled && settled->at(bucketOf(flow.first)) != flow.second.server;
        const std::uint32_t limit = isException ? idleSeconds * exceptionIdleFactor : idleSeconds;
        const bool isIdle = idleFor(flow.second.lastSeenSeconds) > limit;
        if (idleFor(flow.second.lastSeenSeconds) <= activeSeconds)
            ++shard.activeFlows[flow.second.server];
        exceptions += isException && !isIdle;
        return isIdle;
    });
    counters_->exceptions += exceptions - shard.exceptions;
    shard.exceptions = exceptions;
    return scanned;
}

std::map<BackendServerId, std::size_t> FlowTable::activeFlowsByServer() const
{
    std::map<BackendServerId, std::size_t> flows;
    for (const auto& shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        for (const auto& [server, count] : shard->activeFlows)
            flows[server] += count;
    }
    return flows;
}

std::size_t FlowTable::size() const
{
    std::size_t size = 0;
    for (const auto& shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        size += shard->flows.size();
    }
    return size;
}

}
