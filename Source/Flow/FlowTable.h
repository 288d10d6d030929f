#pragma once

#include "Core/Clock.h"
#include "Flow/FlowKey.h"
#include "Flow/RouteDecision.h"
#include "Flow/RoutingState.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace wisteriadock {

// The limit on tracked flows and the counters that the flow tables of all services share.
struct FlowTrackingCounters {
    explicit FlowTrackingCounters(std::size_t capacityToUse)
        : capacity(capacityToUse)
    {
    }

    // Maximum number of tracked flows.
    const std::size_t capacity;
    std::atomic<std::size_t> tracked { 0 };
    std::atomic<std::uint64_t> newFlows { 0 };
    std::atomic<std::uint64_t> untrackedNewFlows { 0 };
    std::atomic<std::uint64_t> forwardedPackets { 0 };
    std::atomic<std::size_t> exceptions { 0 };
};

// A flow and its backend server.
struct KnownFlow {
    FlowKey key = 0;
    BackendServerId server;
};

// The known flows of one service, and the routing state by which unknown flows are routed. Known flows are those that
// this balancer routed or learned from other balancers. The table is split into shards with a lock each. Packet threads
// call route(); the control thread calls all other functions.
class FlowTable {
public:
    FlowTable(std::uint32_t shardCount, std::shared_ptr<FlowTrackingCounters>, bool tracksFlows);
    ~FlowTable();

    RouteDecision route(FlowKey, const FlowPacket&, TimePoint now);

    // Replaces the routing state, shard by shard.
    void install(const std::shared_ptr<const RoutingState>&);

    // Replaces the routing state and collects, under the same locks, the known flows of the given buckets whose server
    // differs from the table's. Every flow is either collected or routed by the new state, so none is missed.
    std::vector<KnownFlow> installAndCollect(
        const std::shared_ptr<const RoutingState>&, const BucketSet&, const BucketTable& table);

    // Collects the known flows of the given buckets whose server differs from the table's.
    std::vector<KnownFlow> collect(const BucketSet&, const BucketTable& table);

    // Replaces the routing state and collects the flows of which this balancer received so few packets that no other
    // balancer may have seen them.
    std::vector<KnownFlow> installAndCollectRarelySeen(const std::shared_ptr<const RoutingState>&);

    // Adds flows that another balancer sent. Flows that are known already keep their server.
    void learn(const std::vector<KnownFlow>&, TimePoint now);

    // Removes the flows of one shard that were idle for longer than the limit. Exceptions to the settled table are kept
    // four times as long, since the table does not give their server. Returns the number of entries scanned.
    std::size_t expire(std::size_t shard, std::chrono::seconds idle, TimePoint now);

    // The number of flows per server with a packet in the last ten seconds, as of the last call of expire() per shard.
    std::map<BackendServerId, std::size_t> activeFlowsByServer() const;

    std::size_t shardCount() const { return shards_.size(); }
    std::size_t size() const;

private:
    struct Entry {
        BackendServerId server;
        // Bit fields, so that an entry takes eight bytes. The seconds wrap around after 194 days.
        std::uint32_t lastSeenSeconds : 24;
        // Packets received by this balancer, up to maxPacketCount.
        std::uint32_t packets : 8;
    };
    struct alignas(64) Shard {
        mutable std::mutex mutex;
        std::shared_ptr<const RoutingState> routing;
        absl::flat_hash_map<FlowKey, Entry> flows;
        // Flows that are exceptions to the settled table, as of the last expire().
        std::size_t exceptions = 0;
        // Flows with a recent packet by server, as of the last expire().
        absl::flat_hash_map<BackendServerId, std::size_t> activeFlows;
    };

    Shard& shardOf(FlowKey key) { return *shards_[key % shards_.size()]; }
    void track(Shard&, FlowKey, BackendServerId, TimePoint now);
    static void collectFrom(const Shard&, const BucketSet&, const BucketTable&, std::vector<KnownFlow>&);

    std::vector<std::unique_ptr<Shard>> shards_;
    std::shared_ptr<FlowTrackingCounters> counters_;
    const bool tracksFlows_;
};

}
