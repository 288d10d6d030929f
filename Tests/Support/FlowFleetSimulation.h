#pragma once

#include "Core/Clock.h"
#include "Flow/FlowEngine.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace wisteriadock {

// Flow engines joined by a simulated network in virtual time. Messages, views and configurations arrive after random
// delays, and messages can be lost or blocked. Time advances only in run() and runUntilSettled().
class FlowFleetSimulation {
public:
    struct Options {
        std::size_t balancers = 7;
        std::uint64_t seed = 1;
        FlowSettings settings;
        // Each delay is the maximum of a uniform distribution.
        std::chrono::milliseconds messageDelay { 20 };
        std::chrono::milliseconds viewDelay { 500 };
        std::chrono::milliseconds configurationDelay { 1000 };
        // Probability that a message is lost, 0 to 1.
        double messageLoss = 0;
    };

    // Counts since the start, as seen by the clients.
    struct Outcome {
        std::size_t flows = 0;
        std::size_t brokenFlows = 0;
        std::size_t wrongServicePackets = 0;
        std::size_t droppedPackets = 0;
        std::size_t forwardedPackets = 0;
        std::size_t newFlowsToDraining = 0;
    };

    explicit FlowFleetSimulation(Options);

    void addBalancer();
    void kill(std::size_t balancer);
    // Begins a planned stop; call announceLeaving() once mayLeave() is true, as the daemon does.
    void beginLeave(std::size_t balancer) { balancers_[balancer].engine->beginLeave(); }
    void announceLeaving(std::size_t balancer);
    bool mayLeave(std::size_t balancer) const { return balancers_[balancer].engine->mayLeave(); }
    // Suspends a balancer without changing its state in the views of the others.
    void pause(std::size_t balancer, Duration);
    // Blocks all messages from one balancer to another until heal().
    void cut(std::size_t from, std::size_t to) { cuts_.insert({ from, to }); }
    void heal() { cuts_.clear(); }

    // Sends a configuration to every balancer with a random delay each; its version is one above the last.
    void apply(const Configuration&);

    // Advances time in steps: delivers messages, opens flows at the given rate and sends packets of open flows.
    void run(Duration, double newFlowsPerSecond = 0);
    // Runs until isSettled() or until the limit has passed; returns isSettled().
    bool runUntilSettled(Duration limit, double newFlowsPerSecond = 0);

    // Opens one flow by sending its first packet; returns the index of the flow.
    std::size_t openFlow(const Service&);
    // Sends a packet of an open flow through a random balancer. Returns the server that it reached, or id 0.
    BackendServerId sendPacket(std::size_t flow);

    // Whether every live balancer is synchronized and has no unsettled service.
    bool isSettled() const;
    const Outcome& outcome() const { return outcome_; }
    FlowEngine& engine(std::size_t balancer) { return *balancers_[balancer].engine; }
    std::size_t size() const { return balancers_.size(); }
    std::size_t messagesSent() const { return messagesSent_; }
    std::map<BackendServerId, std::size_t> newFlowsByServer() const { return newFlowsByServer_; }
    // newFlowsToDraining counts a flow only when its server has been draining for longer than this.
    static constexpr std::chrono::seconds drainingGracePeriod { 5 };

private:
    struct Balancer {
        Member member;
        std::unique_ptr<FlowEngine> engine;
        std::shared_ptr<const MembersView> view;
        bool isDead = false;
        TimePoint pausedUntil;
    };
    struct Flow {
        Endpoint client;
        Endpoint serviceAddress;
        ServiceId service;
        BackendServerId server;
        bool isBroken = false;
    };
    // A scheduled delivery of a message, view or configuration to one balancer.
    struct Event {
        std::size_t balancer = 0;
        std::size_t from = 0;
        std::shared_ptr<const FlowMessage> message;
        std::shared_ptr<const MembersView> view;
        std::shared_ptr<const Configuration> configuration;
        std::uint64_t version = 0;
    };

    TimePoint now() const { return clock_.now(); }
    Duration randomDelay(Duration);
    bool isUp(std::size_t balancer) const;
    std::size_t randomBalancer();
    void scheduleViews();
    void perform(std::size_t balancer, const FlowActions&);
    void deliverDue();
    void step(double newFlowsPerSecond);
    void updateStates();
    BackendServerId route(const Flow&);
    void checkServer(Flow&, BackendServerId);

    Options options_;
    std::mt19937_64 random_;
    ManualClock clock_;
    std::vector<Balancer> balancers_;
    std::multimap<TimePoint, Event> events_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<std::shared_ptr<const Configuration>> configurations_;
    std::map<BackendServerId, TimePoint> drainingSince_;
    std::map<BackendServerId, std::size_t> newFlowsByServer_;
    std::vector<Flow> flows_;
    Outcome outcome_;
    std::size_t messagesSent_ = 0;
    std::uint64_t viewRevision_ = 0;
    double fractionalNewFlows_ = 0;
};

// Makes a configuration from pairs of service name and number of backend servers; all are active with equal weight.
Configuration makeConfiguration(const std::vector<std::pair<std::string, std::size_t>>& serversByService);
BackendServer& serverNamed(Configuration&, const std::string& name);

}
