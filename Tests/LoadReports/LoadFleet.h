#pragma once

#include "LoadReports/LoadExchange.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {

// One simulated balancer.
struct LoadBalancerNode {
    BalancerId id;
    std::uint64_t incarnation = 1;
    std::string zone;
    std::unique_ptr<LoadExchange> exchange;
    TimePoint nextTick;
    // A stopped one neither sends nor receives.
    bool isStopped = false;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    // What it observes in each interval.
    std::vector<ObservedLoad> own;
    std::vector<LoadAction> events;
};

// Balancers that exchange their load in paused time: messages arrive in the next step of 25 ms, ticks come every
// 250 ms, at another phase for each balancer. All share one view of the members, which only the test changes.
class LoadFleet {
public:
    LoadFleet(std::size_t balancers, std::size_t zones, LoadExchangeSettings settings = {});

    void run(Duration duration);
    // The balancer starts anew with the next incarnation.
    void restart(LoadBalancerNode&);
    // Publishes the view again, without stopped balancers unless they are included.
    void publishView(bool includesStopped);
    LoadBalancerNode& aggregatorOf(const std::string& zone);
    // The demand for the service as a balancer knows it.
    float demand(const LoadBalancerNode&, const std::string& service = "tryon") const;
    float demandOf(const std::string& zone, const LoadBalancerNode&, const std::string& service = "tryon") const;

    ManualClock clock;
    std::vector<LoadBalancerNode> nodes;
    // Drops the messages for which it returns true.
    std::function<bool(const LoadBalancerNode& from, const LoadBalancerNode& to, const PeerEnvelope&)> isLost;
    std::mt19937_64 random { 1 };

private:
    struct Delivery {
        std::size_t to = 0;
        PeerEnvelope envelope;
    };

    void start(LoadBalancerNode&);
    void perform(LoadBalancerNode&, LoadActions);

    const LoadExchangeSettings settings_;
    std::shared_ptr<const MembersView> view_;
    std::uint64_t viewRevision_ = 0;
    std::vector<Delivery> inFlight_;
};

}
