#pragma once

#include "Core/Clock.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreFeed.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace wisteriadock {

// Simulates the balancers of one availability zone and the platform's store in virtual time, over links of limited
// bandwidth. All transfers of a balancer share its link. Each balancer has a StoreFeed and a ReplicaSync; the class
// simulates the I/O and the gossip.
class SlowLinkSimulation {
public:
    struct Link {
        std::size_t balancers = 0;
        std::uint32_t megabitsPerSecond = 0;
    };

    // The balancers are named zone-0, zone-1 and so on, in the order of the links.
    SlowLinkSimulation(std::uint32_t seed, const std::vector<Link>&);

    void writeConfiguration(std::uint64_t version, const std::string& text);
    // Writes another key, such as the entry of a server.
    void write(const std::string& key, const std::string& value);
    // The share of the store's link that the balancers of this zone have.
    void setStoreMegabits(double megabitsPerSecond);
    // The store drops its history: watches of earlier revisions fail, and their balancers have to list it again.
    void dropHistory() { droppedTo_ = revision_; }
    // A copy of the store, and the return to it with a higher era.
    struct StoreCopy {
        std::map<std::string, PlatformItem> items;
        std::uint64_t revision = 0;
    };
    StoreCopy copyStore() const { return { items_, revision_ }; }
    void restoreStore(const StoreCopy&);
    // How old the revisions are that membership tells of other balancers; zero at the start.
    void setGossipInterval(Duration interval) { gossipInterval_ = interval; }
    // Restarts all balancers at once with empty replicas.
    void restartAll();
    void advance(Duration);

    std::size_t size() const { return balancers_.size(); }
    // Time from the write of a version until the last balancer received it or a newer one; none while one has neither.
    std::optional<Duration> slowestArrival(std::uint64_t version) const;
    // How many balancers have any configuration.
    std::size_t configuredBalancers() const;
    // How many balancers lack a change of the store.
    std::size_t balancersBehind() const;
    // How many balancers do not know the servers of their own zone, which is "walu" in the entries of servers.
    std::size_t balancersWithoutOwnZone() const;
    // The largest number of bytes that a balancer exchanged with others since the last call.
    std::uint64_t takeMaxPeerBytes();
    // How often a balancer received a configuration that differs from the one written with that version.
    std::uint64_t corruptTexts() const { return corruptTexts_; }

private:
    struct Balancer {
        Member member;
        double bytesPerSecond = 0;
        std::unique_ptr<StoreFeed> feed;
        std::unique_ptr<ReplicaSync> sync;
        std::uint64_t version = 0;
        // When this balancer received each version.
        std::map<std::uint64_t, TimePoint> receivedAt;
        std::uint64_t incarnation = 0;
        std::uint64_t peerBytes = 0;
        // The revision that membership tells the others.
        std::uint64_t gossipedRevision = 0;
        // Bytes of datagrams that wait for its link.
        double queuedDatagramBytes = 0;
        TimePoint nextTick;
    };

    // An answer that is being sent to a balancer; `from` is none for the store.
    struct Transfer {
        std::optional<std::size_t> from;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        double bytesLeft = 0;
        double bytes = 0;
        bool isFetch = false;
        bool hasMoved = false;
        bool isCancelled = false;
        std::uint64_t watchNumber = 0;
        std::optional<StoreDelta> delta;
        std::optional<PlatformPage> page;
        std::optional<PlatformChanges> changes;
    };

    struct Datagram {
        TimePoint at;
        std::size_t from = 0;
        std::size_t to = 0;
        // None for a request of the revision.
        std::optional<PushDelta> push;
    };

    struct Watch {
        std::size_t balancer = 0;
        std::uint64_t incarnation = 0;
        SendWatch call;
        TimePoint until;
    };

    void start(std::size_t);
    void step();
    static Duration tickPeriodOf(const Balancer&);
    void moveBytes();
    void deliver(Transfer);
    void deliverDatagrams();
    void answerWatches();
    void tickBalancer(std::size_t);
    // Reports the progress of its listing to the balancer.
    void reportListingProgress(std::size_t);
    void perform(std::size_t, const StoreFeedActions&);
    void perform(std::size_t, const ReplicaSyncActions&);
    void apply(std::size_t, const ReplicaChanged&);
    std::size_t indexOf(BalancerId) const;
    void gossipRevisions();
    PlatformPage pageAfter(const std::string& key) const;
    // The bytes of the answer to a fetch, compressed as they travel.
    double answerSize(const FetchDelta&, const StoreDelta&);
    std::shared_ptr<const MembersView> viewOf(std::size_t) const;
    void put(PlatformItem);

    ManualClock clock_;
    std::mt19937 random_;
    std::vector<Balancer> balancers_;
    std::vector<Transfer> transfers_;
    std::vector<Datagram> datagrams_;
    std::vector<Watch> watches_;
    std::map<std::string, PlatformItem> items_;
    std::map<std::uint64_t, std::string> texts_;
    std::map<std::uint64_t, TimePoint> writtenAt_;
    double storeBytesPerSecond_ = 0;
    // By the revisions that a fetch asks for and gets, and its scope.
    std::map<std::tuple<std::uint64_t, std::uint64_t, FetchScope>, double> answerSizes_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 0;
    // Watches of this and earlier revisions fail; none do at 0.
    std::uint64_t droppedTo_ = 0;
    Duration gossipInterval_ {};
    TimePoint nextGossip_;
    std::uint64_t corruptTexts_ = 0;
};

// A configuration in the format of the platform. `changed` of its routes, from the middle on, have another timeout in
// each version.
std::string configurationText(std::uint64_t version, std::size_t routes, std::size_t changed);

}
