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

// How many flows all services together may track, and how many they do. Shared by the tables of all services.
struct FlowTrackingCounters {
    explicit FlowTrackingCounters(std::size_t capacityToUse)
        : capacity(capacityToUse)
    {
    }

    const std::size_t capacity;
    std::atomic<std::size_t> tracked { 0 };
    std::atomic<std::uint64_t> newFlows { 0 };
    std::atomic<std::uint64_t> untrackedNewFlows { 0 };
    std::atomic<std::uint64_t> forwardedPackets { 0 };
    std::atomic<std::size_t> exceptions { 0 };
};

// One known flow and its server.
struct KnownFlow {
    FlowKey key = 0;
    BackendServerId server;
};

// The flows of one service that this balancer has seen, in shards that each have a lock of their own, together with the
// rules by which unknown flows are decided. Packet threads call route(); the control thread calls the rest.
class FlowTable {
public:
    FlowTable(std::uint32_t shardCount, std::shared_ptr<FlowTrackingCounters>, bool tracksFlows);
    ~FlowTable();

    RouteDecision route(FlowKey, const FlowPacket&, TimePoint now);

    // Puts new rules in force shard by shard.
    void install(const std::shared_ptr<const RoutingState>&);

    // Puts new rules in force and collects, under the same locks, the known flows in the given buckets that the table
    // would not send where they are. No flow can slip in between: whoever decides after it goes by the new rules.
    std::vector<KnownFlow> installAndCollect(
        const std::shared_ptr<const RoutingState>&, const BucketSet&, const BucketTable& table);

    std::vector<KnownFlow> collect(const BucketSet&, const BucketTable& table);

    // Puts new rules in force and collects the flows of which so few packets came here that perhaps no other balancer
    // has seen one.
    std::vector<KnownFlow> installAndCollectRarelySeen(const std::shared_ptr<const RoutingState>&);

    // Learns flows from another balancer. What is known already stays.
    void learn(const std::vector<KnownFlow>&, TimePoint now);

    // Forgets flows that were idle for longer than the limit, in one shard. Flows that are exceptions to the settled
    // table get four times that, since the table would not find their server again. Returns the entries looked at.
    std::size_t expire(std::size_t shard, std::chrono::seconds idle, TimePoint now);

    // Flows per server that sent a packet here lately, as of the last look for idle flows.
    std::map<BackendServerId, std::size_t> activeFlowsByServer() const;

    std::size_t shardCount() const { return shards_.size(); }
    std::size_t size() const;

private:
    struct Entry {
        BackendServerId server;
        // Both fit one word, so that an entry stays at eight bytes. The seconds wrap after 194 days.
        std::uint32_t lastSeenSeconds : 24;
        // Packets seen here, up to the most that is counted.
        std::uint32_t packets : 8;
    };
    struct alignas(64) Shard {
        mutable std::mutex mutex;
        std::shared_ptr<const RoutingState> routing;
        absl::flat_hash_map<FlowKey, Entry> flows;
        // Exceptions among them, as of the last look for idle flows.
        std::size_t exceptions = 0;
        // Flows with a packet in the last seconds by server, counted at the same time.
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
