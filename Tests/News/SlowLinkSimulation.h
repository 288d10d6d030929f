#pragma once

#include "Core/Clock.h"
#include "News/ReplicaSync.h"
#include "News/StoreFeed.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {

// The balancers of one availability zone and the platform's store in virtual time, with links of a given rate: an
// answer takes as long as its bytes need on the sender's and the receiver's link, which all transfers there share.
// Balancers run the decisions of the daemon (StoreFeed, ReplicaSync); this class does the I/O and the gossip.
class SlowLinkSimulation {
public:
    struct Link {
        std::size_t balancers = 0;
        std::uint32_t megabitsPerSecond = 0;
    };

    // The balancers are named zone-0, zone-1 and so on, in the order of the links.
    SlowLinkSimulation(std::uint32_t seed, const std::vector<Link>&);

    void writeConfiguration(std::uint64_t version, const std::string& text);
    // Another key, as a server's entry is.
    void write(const std::string& key, const std::string& value);
    // All processes end, and start again at once with nothing.
    void restartAll();
    void advance(Duration);

    std::size_t size() const { return balancers_.size(); }
    // How long after it was written the last balancer had the version or a newer one; none while one has neither.
    std::optional<Duration> slowestArrival(std::uint64_t version) const;
    // How many balancers have a configuration at all.
    std::size_t configuredBalancers() const;
    // The most bytes that one balancer sent to or received from other balancers since the last call.
    std::uint64_t takeMaxPeerBytes();
    // How often a balancer held a text that no operator wrote under its version.
    std::uint64_t corruptTexts() const { return corruptTexts_; }

private:
    struct Balancer {
        Member member;
        double bytesPerSecond = 0;
        std::unique_ptr<StoreFeed> feed;
        std::unique_ptr<ReplicaSync> sync;
        std::uint64_t version = 0;
        // By version: when this balancer had it.
        std::map<std::uint64_t, TimePoint> receivedAt;
        std::uint64_t incarnation = 0;
        std::uint64_t peerBytes = 0;
        // What waits on its link to be sent as datagrams.
        double queuedDatagramBytes = 0;
        TimePoint nextTick;
    };

    // Bytes on the way to a balancer; `from` is none for the store, whose link is wide.
    struct Transfer {
        std::optional<std::size_t> from;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        double bytesLeft = 0;
        double bytes = 0;
        bool isFetch = false;
        bool hasMoved = false;
        std::uint64_t watchNumber = 0;
        std::optional<StoreDelta> delta;
        std::optional<PlatformPage> page;
        std::optional<PlatformChanges> changes;
    };

    struct Datagram {
        TimePoint at;
        std::size_t from = 0;
        std::size_t to = 0;
        StoreDelta delta;
    };

    struct Watch {
        std::size_t balancer = 0;
        std::uint64_t incarnation = 0;
        SendWatch call;
        TimePoint until;
    };

    void start(std::size_t);
    void step();
    void moveBytes();
    void deliver(Transfer);
    void deliverDatagrams();
    void answerWatches();
    void tickBalancer(std::size_t);
    // Tells the balancer how much has come of its listing.
    void reportListingProgress(std::size_t);
    void perform(std::size_t, const StoreFeedActions&);
    void perform(std::size_t, const ReplicaSyncActions&);
    void apply(std::size_t, const ReplicaChanged&);
    std::size_t indexOf(BalancerId) const;
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
    std::uint64_t revision_ = 1;
    std::uint64_t corruptTexts_ = 0;
};

// An operators' text of so many routes, each of some 190 bytes as the platform writes them. `changed` routes of it,
// from the middle on, have another time limit in each version.
std::string configurationText(std::uint64_t version, std::size_t routes, std::size_t changed);

}
