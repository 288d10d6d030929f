#pragma once

#include "Forward/ForwardFixture.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreFeed.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {

// Simulates the balancers of two zones in virtual time. Each has a StoreFeed, a ReplicaSync and a TokenRouter. The
// class simulates the store, the messages between balancers and the gossip of revisions, with seeded faults.
class FleetSimulation {
public:
    static constexpr std::size_t zones = 2;
    static constexpr std::size_t balancersPerZone = 3;
    // Most entries in a page of a listing, as on the platform.
    static constexpr std::size_t pageItems = 500;
    // The first ones of each zone watch the store.
    static constexpr std::size_t watchersPerZone = 2;

    struct Balancer {
        std::string name;
        std::string availabilityZone;
        BalancerId id;
        std::unique_ptr<StoreFeed> feed;
        std::unique_ptr<ReplicaSync> sync;
        std::unique_ptr<TokenRouter> router;
        bool isFrozen = false;
        bool isRejectedByStore = false;
        std::uint64_t newestVersion = 0;
    };

    explicit FleetSimulation(std::uint32_t seed);

    // Writes of operators and servers to the store.
    void writeConfiguration(std::uint64_t version, const std::vector<std::string>& servicesByRoute);
    void writeServer(const RegisteredServer&);
    void removeServer(const RegisteredServer&);
    // Writes the key with the same value again.
    void rewrite(const PlatformItem& item) { put(item.key, item.value, false); }
    // Writes or removes the order to evacuate a zone.
    void evacuateZone(const std::string& zone) { put("empty " + zone, {}, false); }
    void revokeEvacuation(const std::string& zone) { put("empty " + zone, {}, true); }
    void compactHistory() { compactedRevision_ = revision_; }
    // A copy of the store, and the return to it. Revisions given out since are given out again, and the era rises.
    struct StoreCopy {
        std::map<std::string, PlatformItem> items;
        std::uint64_t revision = 0;
        std::uint64_t era = 0;
    };
    StoreCopy copyStore() const { return { items_, revision_, era_ }; }
    void restoreStore(const StoreCopy&);
    // Number of calls that the store has answered or refused.
    std::uint64_t storeCalls() const { return storeCalls_; }
    // Freezes the content of listings that may be stale at the present state of the store, or ends that.
    void serveStaleListings(bool isStale);
    // Serves the pages of listings that may be stale from these copies of the store in turn, the first page from the
    // first copy; from the store itself if there are none.
    void serveListingsFrom(std::vector<StoreCopy> copies) { listedCopies_ = std::move(copies); }

    // Starts a balancer, or restarts it with an empty replica.
    void start(std::size_t index);
    void advance(Duration);
    std::vector<Balancer>& balancers() { return balancers_; }
    TimePoint now() const { return clock_.now(); }
    std::uint64_t revision() const { return revisionInEra(era_, revision_); }
    std::mt19937& random() { return random_; }
    static Endpoint routeOf(std::size_t number) { return { 0xC6120000 + static_cast<std::uint32_t>(number), 443 }; }
    std::uint64_t regressions() const { return regressions_; }
    // Updates that balancers have applied, and fetches between them.
    std::uint64_t appliedUpdates() const { return appliedUpdates_; }
    std::uint64_t fetches() const { return fetches_; }

    bool isStoreDown = false;
    double lossRate = 0;

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };

    void put(const std::string& key, std::string value, bool isRemoved);
    void schedule(Duration, std::function<void()>);
    void perform(std::size_t, const StoreFeedActions&);
    void perform(std::size_t, const ReplicaSyncActions&);
    void apply(Balancer&, const ReplicaChanged&);
    PlatformPage pageOf(const ListCall&) const;
    void answerList(std::size_t, const ListCall&);
    void answerWatch(std::size_t, const SendWatch&, TimePoint until);
    void tickBalancers();
    bool isLost() { return std::uniform_real_distribution<>()(random_) < lossRate; }

    ManualClock clock_;
    std::mt19937 random_;
    std::vector<Balancer> balancers_;
    std::vector<std::uint64_t> incarnations_;
    std::map<std::string, PlatformItem> items_;
    std::vector<PlatformItem> history_;
    std::map<std::string, RegisteredServer> servers_;
    std::map<std::uint64_t, ForwardingConfiguration> configurations_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 0;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t serverWrites_ = 0;
    std::vector<StoreCopy> listedCopies_;
    std::uint64_t compactedRevision_ = 0;
    std::uint64_t regressions_ = 0;
    std::uint64_t appliedUpdates_ = 0;
    std::uint64_t fetches_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::vector<Event> events_;
    TimePoint nextTick_;
};

}
