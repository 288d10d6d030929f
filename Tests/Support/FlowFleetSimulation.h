#pragma once

#include "Core/Clock.h"
#include "Flow/FlowEngine.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace wisteriadock {

// A few flow engines with a small fake network between them: messages, views and configurations arrive late, unevenly
// and, where a test asks for it, not at all. Time moves only when a test runs the fleet.
class FlowFleetSimulation {
public:
    struct Options {
        std::size_t balancers = 7;
        std::uint64_t seed = 1;
        FlowSettings settings;
        std::chrono::milliseconds messageDelay { 20 };
        std::chrono::milliseconds viewDelay { 500 };
        std::chrono::milliseconds configurationDelay { 1000 };
        double messageLoss = 0;
    };

    // What became of the flows so far, as their clients saw it.
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
    // Begins a planned stop; announce it once the engine lets it, as the daemon does.
    void beginLeave(std::size_t balancer) { balancers_[balancer].engine->beginLeave(); }
    void announceLeaving(std::size_t balancer);
    bool mayLeave(std::size_t balancer) const { return balancers_[balancer].engine->mayLeave(); }
    // Stops a balancer for a while, without its knowing; the others notice nothing.
    void pause(std::size_t balancer, Duration);
    // Stops all messages from one balancer to another.
    void cut(std::size_t from, std::size_t to) { cuts_.insert({ from, to }); }
    void heal() { cuts_.clear(); }

    // Brings a configuration into force, unevenly; its version is one above the last.
    void apply(const Configuration&);

    // Runs for a while: time passes in steps, messages arrive, clients open flows at the rate and send on old ones.
    void run(Duration, double newFlowsPerSecond = 0);
    // Runs until every balancer holds the newest table of every service, or the limit is over.
    bool runUntilSettled(Duration limit, double newFlowsPerSecond = 0);

    // Opens one flow now, by its first packet.
    std::size_t openFlow(const Service&);
    // One more packet of an open flow through a balancer chosen by chance; returns the server it reached, if any.
    BackendServerId sendPacket(std::size_t flow);

    bool isSettled() const;
    const Outcome& outcome() const { return outcome_; }
    FlowEngine& engine(std::size_t balancer) { return *balancers_[balancer].engine; }
    std::size_t size() const { return balancers_.size(); }
    std::size_t messagesSent() const { return messagesSent_; }
    std::map<BackendServerId, std::size_t> newFlowsByServer() const { return newFlowsByServer_; }
    // New flows to a draining server count as wrong once the configuration has been known for this long.
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
    // Something that happens to one balancer later.
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

// A configuration of services that each have so many backend servers, all active, with the same weight.
Configuration makeConfiguration(const std::vector<std::pair<std::string, std::size_t>>& serversByService);
BackendServer& serverNamed(Configuration&, const std::string& name);

}
