#pragma once

#include "EventSimulator.h"
#include "FakeBackends.h"
#include "FakePlatform.h"

#include "Request/PendingForwardTable.h"
#include "Request/RequestRouter.h"
#include "Request/RequestRunner.h"
#include "Request/TermReconciler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock::testing {

// What callers get.
struct FakeReply {
    SharedResponse answer; // Null for a refusal.
    Refusal refusal;
    // When the refusal was decided; what ran later doesn't make it false.
    TimePoint decidedAt;
};
using FakeReplyTo = std::function<void(const FakeReply&)>;

struct FakeRequest {
    std::string name; // The key's text.
    RequestKey key;
    TimePoint deadline;
};

class FakeBalancer;

// What tests share: the network, and all balancers by id.
struct FakeCluster {
    explicit FakeCluster(std::uint64_t seed, std::uint32_t balancersPerZone = 2, std::uint32_t serversPerZone = 3);
    ~FakeCluster();

    EventSimulator simulator;
    FakePartitions partitions;
    std::vector<std::string> zones { "walu", "laucala", "nabua" };
    FakeBackends backends;
    FakePlatform platform;
    RetryRule retryRule = RetryRule::Safe;
    double lostMessages = 0;
    double termGossipProbability = 1;
    std::vector<std::unique_ptr<FakeBalancer>> balancers;
    std::map<BalancerId, FakeBalancer*> byId;

    // Heartbeats and views every 100 ms, ticks every 20 ms.
    void start();
    void run(Duration time) { simulator.runUntil(simulator.now() + time); }
    // Carries a closure to a balancer's present life, if the network lets it.
    void transmit(const FakeBalancer& from, const BalancerInstance& to, const std::function<void(FakeBalancer&)>&,
        bool isReliable = false);
    FakeBalancer& balancer(std::size_t index) { return *balancers[index]; }
    // The balancer that owns the key by the newest record known to anybody; null when there is none.
    FakeBalancer* ownerOf(const RequestKey&);

private:
    void sendHeartbeats();
    void tick();
};

// The shell that a daemon is, in miniature.
class FakeBalancer {
public:
    FakeBalancer(FakeCluster&, std::string name, std::string zone);

    // Faults. A killed balancer comes back as a new incarnation with empty memory.
    void kill(Duration downTime);
    void pause(Duration time);
    void leave();

    bool isUp() const { return isUp_; }
    // Takes callers: one that has just started knows nobody yet and listens later.
    bool isListening() const { return isUp_ && !state_->view.members.empty(); }
    bool isPaused() const { return cluster_.simulator.now() < pausedUntil_; }
    bool isLeaving() const { return isLeaving_; }

    // A caller's request; the reply is not called when this balancer dies first.
    void request(const FakeRequest&, const FakeReplyTo&);

    // Runs an event in this life, once it is not paused.
    void perform(const std::function<void()>&);
    void receive(const BalancerInstance& from, const RequestMessage&);
    void receiveHeartbeat(const FakeBalancer& other);
    void publishView();
    void tick();

    BalancerInstance holder() const { return { id_, incarnation_ }; }
    const std::string& zone() const { return zone_; }
    BalancerId id() const { return id_; }
    RequestRunner& runner() { return *state_->runner; }
    const ClaimTerm* termOf(const std::string& zone) const { return state_->router->termOf(zone); }

private:
    struct Local {
        FakeRequest request;
        FakeReplyTo reply; // Of a caller here.
        BalancerInstance entry; // Of another balancer, when token.number is set.
        ForwardToken token;
        int hops = 0;
    };
    // What a crash forgets.
    struct ProcessState {
        std::unique_ptr<RequestRunner> runner;
        std::unique_ptr<RequestRouter> router;
        std::unique_ptr<PendingForwardTable> forwards;
        std::unique_ptr<TermReconciler> terms;
        std::map<AttemptId, Local> attempts;
        MembersView view;
        std::map<BalancerId, std::pair<Member, TimePoint>> heartbeats;
        TimePoint lastHeartbeat;
        AttemptId lastAttempt = 0;
    };

    void start();
    void route(AttemptId);
    void routeLater(AttemptId);
    void arriveForwarded(const BalancerInstance& entry, const ForwardToken&, const FakeRequest&);
    void finish(AttemptId, const FakeReply&);
    void settle(const BalancerInstance& from, const ForwardToken&, const KeyDigest&, const FakeReply&);
    void settleRedirect(const BalancerInstance& from, const ForwardToken&);
    void refuseUnknown(AttemptId, RefusalReason);
    void act();
    void act(const RequestAction&);
    void act(const TermAction&);
    void startWork(const StartWork&);

    FakeCluster& cluster_;
    std::string name_;
    std::string zone_;
    BalancerId id_;
    std::uint64_t incarnation_ = 0;
    bool isUp_ = false;
    bool isLeaving_ = false;
    TimePoint pausedUntil_;
    std::unique_ptr<ProcessState> state_;
};

}
