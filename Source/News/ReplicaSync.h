#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Membership/Member.h"
#include "News/StoreDelta.h"
#include "News/StoreReplica.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

struct ReplicaSyncSettings {
    // How long a balancer waits for news to be pushed to it, once it has heard that others have it, before it asks.
    std::chrono::milliseconds pushTimeout { 300 };
    // How much longer it waits before it asks another zone, since bytes between zones are dear: its zone's watchers ask
    // first, and tell the others.
    std::chrono::milliseconds otherZoneDelay { 600 };
    // How long one that knows nothing yet leaves it to the store, which answers everybody at once, before it asks
    // others for everything.
    std::chrono::milliseconds listingTimeout { 1500 };
    // The same while one is ahead whose link is wider by so many classes (widthClassOf(): 3 are a factor of 4 at
    // least): with 10,000 routes the store's answer takes 2.3 s on a link of 10 Mbit/s, and a neighbour's packed one
    // 0.2 s. Longer than the store's answer takes while configurations are small, so that nobody is asked then.
    std::chrono::milliseconds fasterPeerListingTimeout { 300 };
    int fasterPeerClasses = 3;
    // In a zone of more than this many, requests spread over a time, and whoever has been answered tells a few others,
    // so that not all ask the watchers.
    std::size_t largeZoneSize = 12;
    std::chrono::milliseconds maxJitter { 500 };
    std::size_t announcementFanout = 4;
    // Who has read everything tells so many that know nothing that its link gives each of them so much of it: a packed
    // configuration of 10,000 routes, 3 Mbit, then takes 0.6 s. More would ask it at once and wait for each other.
    std::uint32_t megabitsPerUninformedPeer = 5;
    // How long nothing of an answer may come, before another balancer is asked. Measured from the last bytes, since all
    // of a zone fetch a large configuration at once over thin links: when each gave up after 0.8 s and began anew, the
    // last balancer of a zone had a server's leaving after 5.2 s instead of 1 s (71 balancers, links of 10 Mbit/s).
    std::chrono::milliseconds answerTimeout { 800 };
    // Payload of a push; what does not fit into one is sent in several, and a larger item is fetched by the receiver.
    std::size_t maxPushBytes = 1100;
    // Datagrams for one piece of news; above it the zone is only told that there is news. 400 keep a link of 10 Mbit/s
    // busy for 0.35 s.
    std::size_t maxPushes = 400;
};

// News for one balancer that fits into a datagram.
struct PushDelta {
    Endpoint to;
    StoreDelta delta;
};

// Ask this balancer for everything after the revision; give the answer to handleAnswer(), or call handleFetchFailure().
struct FetchDelta {
    BalancerId from;
    Endpoint address;
    std::uint64_t after = 0;
    // What the answer may hold.
    StoreReplica::Encoding encoding = StoreReplica::Encoding::Full;
};

// Something became new: the rest of the process shall act on it.
struct ReplicaChanged {
    std::vector<StoreUpdate> items;
    bool isInDoubt = false;
    // Who told it: the store, or a balancer.
    std::string source;
    // How long this balancer had known that others are ahead; zero when it heard the news first.
    Duration lag {};
    // The replica is complete up to here.
    std::uint64_t revision = 0;
};

using ReplicaSyncAction = std::variant<PushDelta, FetchDelta, ReplicaChanged>;
using ReplicaSyncActions = std::vector<ReplicaSyncAction>;

// Spreads the platform's news among balancers. Those that watch the store push what they learn to the others of their
// availability zone. Membership tells everybody how far everybody is; a balancer that stays behind fetches from one
// that is ahead, so news gets around also when pushes are lost, when all watchers of a zone are turned away by the
// store, and when only another zone reaches it. The shell calls it from one thread and does what the actions say.
class ReplicaSync {
public:
    ReplicaSync(std::string availabilityZone, std::uint64_t seed, ReplicaSyncSettings settings = {});

    // News of the store itself, which this balancer shares with its zone, if it is for others.
    ReplicaSyncActions handleStoreDelta(const StoreDelta&, TimePoint now, bool isForOthers = true);
    ReplicaSyncActions handlePush(BalancerId sender, const StoreDelta&, TimePoint now);
    ReplicaSyncActions handleAnswer(const std::string& sender, const StoreDelta&, TimePoint now);
    ReplicaSyncActions handleFetchFailure(TimePoint now);
    // Bytes of the answer in progress came.
    void noteFetchProgress(TimePoint now);
    // Whether this balancer watches the store, and whether the store answers it.
    void setRole(bool isWatcher, bool isStoreUnreachable);
    // Whether this balancer, while it knows nothing, asks others without waiting for the store.
    void setFetchesImmediately(bool fetchesImmediately) { fetchesImmediately_ = fetchesImmediately; }
    ReplicaSyncActions handleView(std::shared_ptr<const MembersView>, TimePoint now);
    ReplicaSyncActions tick(TimePoint now);

    const StoreReplica& replica() const { return replica_; }
    // When tick() should be called next, if nothing happens before; none when there is nothing to wait for.
    std::optional<TimePoint> nextTick() const;
    // Since when others are known to be ahead of this balancer; none when nobody is.
    std::optional<TimePoint> behindSince() const { return behindSince_; }
    // When the store last told this balancer or its zone's watcher something that is certain (StoreDelta::isFresh).
    TimePoint lastStoreContact() const { return lastStoreContact_; }
    // Whether somebody in the zone is known whose link is much wider than this balancer's.
    bool knowsFasterPeer() const;
    // The highest revision that another balancer is known to have; 0 when none is known.
    std::uint64_t newestPeerRevision() const;

private:
    ReplicaSyncActions reportChanges(
        const std::string& source, const StoreDelta&, StoreReplica::Updates, TimePoint now) const;
    void push(const StoreDelta&, ReplicaSyncActions&) const;
    void announce(ReplicaSyncActions&);
    void announceToUninformed(ReplicaSyncActions&);
    Duration fetchDelay(bool hasSourceInZone) const;
    bool hasFasterPeer(const std::vector<const Member*>&) const;
    std::vector<const Member*> othersInZone() const;
    void fetchIfBehind(TimePoint now, ReplicaSyncActions&);
    std::vector<const Member*> sources(bool isInZone) const;
    const Member* chooseSource(std::vector<const Member*> members);
    // How far a member is, by what it pushed and by what membership says.
    std::uint64_t revisionOf(const Member&) const;

    const std::string availabilityZone_;
    const ReplicaSyncSettings settings_;
    std::mt19937_64 random_;
    StoreReplica replica_;
    std::shared_ptr<const MembersView> view_;
    // The revisions of pushes, which are ahead of what membership tells.
    std::map<BalancerId, std::uint64_t> pushedRevisions_;
    std::optional<TimePoint> behindSince_;
    TimePoint lastStoreContact_ = TimePoint::min();
    // When the fetch in progress is given up.
    std::optional<TimePoint> fetchDeadline_;
    TimePoint fetchStartedAt_;
    std::optional<BalancerId> lastSource_;
    // Whole after an answer whose patches were for a value that this balancer does not hold.
    StoreReplica::Encoding fetchEncoding_ = StoreReplica::Encoding::Patched;
    bool isWatcher_ = false;
    bool isStoreUnreachable_ = false;
    bool fetchesImmediately_ = false;
    // This balancer's own part of ReplicaSyncSettings::spread, drawn anew for each wait.
    Duration jitter_ {};
};

}
