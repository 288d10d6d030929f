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

// The reply to a caller.
struct FakeReply {
    SharedResponse answer; // Null for a refusal.
    Refusal refusal;
    // When the refusal was decided; later runs don't make it false.
    TimePoint decidedAt;
};
using FakeReplyTo = std::function<void(const FakeReply&)>;

struct FakeRequest {
    std::string name; // The key's text.
    RequestKey key;
    TimePoint deadline;
};

class FakeBalancer;

// The simulated deployment: network, platform, backend servers and all balancers by id.
struct FakeCluster {
    explicit FakeCluster(std::uint64_t seed, std::uint32_t balancersPerZone = 2, std::uint32_t serversPerZone = 3);
    ~FakeCluster();

    EventSimulator simulator;
    FakePartitions partitions;
    std::vector<std::string> zones { "walu", "laucala", "nabua" };
    FakeBackends backends;
    FakePlatform platform;
    RetryRule retryRule = RetryRule::Safe;
    double messageLossProbability = 0;
    double termGossipProbability = 1;
    std::vector<std::unique_ptr<FakeBalancer>> balancers;
    std::map<BalancerId, FakeBalancer*> byId;

    // Starts the balancers, with heartbeats and views every 100 ms and ticks every 20 ms.
    void start();
    void run(Duration time) { simulator.runUntil(simulator.now() + time); }
    // Runs the event at the addressed instance, if the network delivers it.
    void transmit(const FakeBalancer& from, const BalancerInstance& to, const std::function<void(FakeBalancer&)>&,
        bool isReliable = false);
    FakeBalancer& balancer(std::size_t index) { return *balancers[index]; }
    // The owner of the key by the newest record that any running balancer knows; null when there is none.
    FakeBalancer* ownerOf(const RequestKey&);

private:
    void sendHeartbeats();
    void tick();
};

// A simulated balancer daemon around a RequestRunner.
class FakeBalancer {
public:
    FakeBalancer(FakeCluster&, std::string name, std::string zone);

    // Faults. A killed balancer returns as a new incarnation with empty memory.
    void kill(Duration downTime);
    void pause(Duration time);
    void leave();

    bool isUp() const { return isUp_; }
    // Accepts callers; a balancer that has just started does so after its first view.
    bool isListening() const { return isUp_ && !state_->view.members.empty(); }
    bool isPaused() const { return cluster_.simulator.now() < pausedUntil_; }
    bool isLeaving() const { return isLeaving_; }

    // Takes a caller's request; the reply is not called when this balancer fails first.
    void request(const FakeRequest&, const FakeReplyTo&);

    // Runs an event in the current incarnation, after any pause.
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
    struct OpenAttempt {
        FakeRequest request;
        FakeReplyTo reply; // Set for a caller of this balancer.
        BalancerInstance entry; // The forwarding balancer when token.number is set.
        ForwardToken token;
        int hops = 0;
    };
    // State that a crash loses.
    struct ProcessState {
        std::unique_ptr<RequestRunner> runner;
        std::unique_ptr<RequestRouter> router;
        std::unique_ptr<PendingForwardTable> forwards;
        std::unique_ptr<TermReconciler> terms;
        std::map<AttemptId, OpenAttempt> attempts;
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
    void executeActions();
    void execute(const RequestAction&);
    void execute(const TermAction&);
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
