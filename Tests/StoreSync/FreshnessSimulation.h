#pragma once

#include "Core/Clock.h"
#include "Membership/Membership.h"
#include "Peers/WatcherRole.h"
#include "StoreSync/ReplicaFreshness.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreFeed.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// Simulates balancers of several zones and the platform's store in virtual time. Each balancer has the parts of the
// forwarder that keep its view of the store current: Membership, WatcherRole, StoreFeed, ReplicaSync and
// ReplicaFreshness. The class simulates their I/O, with seeded delays and faults.
class FreshnessSimulation {
public:
    enum class StoreState {
        Up,
        Down, // Refuses every call.
        Silent, // Answers no call.
    };

    struct Balancer {
        Member self;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<WatcherRole> role;
        std::unique_ptr<StoreFeed> feed;
        std::unique_ptr<ReplicaSync> sync;
        // Null for a balancer of an earlier version.
        std::unique_ptr<ReplicaFreshness> freshness;
        // Counts its starts and its ends; events of an earlier life are dropped.
        std::uint64_t life = 0;
        bool isAlive = false;
        bool isStopping = false;
        bool isEarlierVersion = false;
        bool isRejectedByStore = false;
        // Calls to the store get no answer.
        bool isCutFromStore = false;
        std::uint64_t storeCalls = 0;
        std::uint64_t questions = 0;
        std::uint64_t heartbeats = 0;
        std::uint64_t ticks = 0;
        std::uint64_t staleLogs = 0;
        std::uint64_t freshLogs = 0;
    };

    // A bound of 0 switches ReplicaFreshness off.
    FreshnessSimulation(std::uint64_t seed, std::chrono::milliseconds bound)
        : random_(seed)
        , bound_(bound)
    {
    }

    // Adds a balancer and starts it.
    std::size_t add(const std::string& zone, bool isEarlierVersion = false);
    void kill(std::size_t);
    // Begins a planned stop.
    void stop(std::size_t);
    void advance(Duration);
    // Writes a key and returns the store's revision, which acknowledges it.
    std::uint64_t write(const std::string& key, const std::string& value);

    std::vector<Balancer>& balancers() { return balancers_; }
    bool isWatcher(std::size_t) const;
    std::vector<std::size_t> watchersOf(const std::string& zone) const;
    std::uint64_t revisionOf(std::size_t index) const { return balancers_[index].sync->replica().completeTo(); }
    // Of a balancer whose ReplicaFreshness is on.
    Duration ageOf(std::size_t index) const
    {
        return balancers_[index].freshness->age(now()).value_or(Duration::max());
    }
    TimePoint now() const { return clock_.now(); }
    std::mt19937_64& random() { return random_; }
    std::uint64_t storeCalls() const;
    std::uint64_t questions() const;

    StoreState store = StoreState::Up;
    // Probability that a datagram is lost.
    double lossRate = 0;
    // Links whose datagrams are dropped.
    std::function<bool(std::size_t from, std::size_t to)> isCut;

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    struct Write {
        TimePoint at;
        PlatformItem item;
    };
    struct Watch {
        std::size_t balancer = 0;
        std::uint64_t life = 0;
        SendWatch call;
    };

    void schedule(Duration, std::function<void()>);
    // Runs the action if the balancer is then in the same life.
    void scheduleFor(std::size_t, Duration, std::function<void()>);
    // Delivers a datagram, unless it is lost.
    void deliver(std::size_t from, const Endpoint& to, std::function<void(std::size_t)>);
    void tick(std::size_t);
    void perform(std::size_t, const MembershipActions&);
    void perform(std::size_t, const StoreFeedActions&);
    void perform(std::size_t, const ReplicaSyncActions&);
    void perform(std::size_t, const ReplicaFreshnessActions&);
    void fetch(std::size_t, const FetchDelta&);
    void answerRequest(std::size_t, BalancerId sender, const Endpoint&, bool wantsAge);
    std::optional<Error> failureOf(const Balancer&) const;
    bool isSilentFor(const Balancer& balancer) const { return store == StoreState::Silent || balancer.isCutFromStore; }
    PlatformPage pageAt(TimePoint) const;
    void answer(const Watch&);
    std::size_t indexOf(const Endpoint& address) const { return address.address - firstHost; }
    Duration latency() { return std::chrono::microseconds(500 + random_() % 1500); }

    static constexpr std::uint32_t firstHost = 0x0A000001;

    ManualClock clock_;
    std::mt19937_64 random_;
    const std::chrono::milliseconds bound_;
    std::vector<Balancer> balancers_;
    std::priority_queue<Event> events_;
    std::uint64_t scheduled_ = 0;
    std::vector<Write> writes_;
    std::vector<Watch> watches_;
};

}
