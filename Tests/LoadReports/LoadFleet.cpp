#include "LoadReports/LoadFleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration step = 25ms;
    constexpr Duration tickInterval = 250ms;
    constexpr std::uint16_t peerPort = 7720;

    Endpoint addressOf(std::size_t index) { return { 0x0A000000 + static_cast<std::uint32_t>(index), peerPort }; }

}

LoadFleet::LoadFleet(std::size_t balancers, std::size_t zones, LoadExchangeSettings settings)
    : settings_(settings)
{
    nodes.resize(balancers);
    for (std::size_t i = 0; i < balancers; ++i) {
        LoadBalancerNode& node = nodes[i];
        node.zone = fmt::format("zone-{}", i % zones);
        node.id = balancerIdOf(fmt::format("edge-{}-{}", node.zone, i));
        node.nextTick = clock.now() + step * static_cast<int>(random() % 10);
        RequestLoad load { 1.5F, 10, 9, 0.5F, 0.5F, 80ms };
        node.own = { { "tryon", node.zone, 0, load }, { "tryon", node.zone, 1, load } };
    }
    publishView(true);
    for (LoadBalancerNode& node : nodes)
        start(node);
}

void LoadFleet::start(LoadBalancerNode& node)
{
    const auto slots = [](const std::string&, const std::string&) { return 100U; };
    node.exchange = std::make_unique<LoadExchange>(node.id, node.zone, random(), slots, settings_);
}

void LoadFleet::restart(LoadBalancerNode& node)
{
    ++node.incarnation;
    node.isStopped = false;
    start(node);
}

void LoadFleet::publishView(bool includesStopped)
{
    auto view = std::make_shared<MembersView>();
    view->revision = ++viewRevision_;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const LoadBalancerNode& node = nodes[i];
        Member member;
        member.id = node.id;
        member.name = fmt::format("edge-{}-{}", node.zone, i);
        member.availabilityZone = node.zone;
        member.peerAddress = addressOf(i);
        member.incarnation = node.incarnation;
        member.state = node.isStopped && !includesStopped ? MemberState::Dead : MemberState::Serving;
        view->members.push_back(member);
    }
    std::ranges::sort(view->members, {}, &Member::id);
    view_ = std::move(view);
}

void LoadFleet::run(Duration duration)
{
    const TimePoint end = clock.now() + duration;
    while (clock.now() < end) {
        clock.advance(step);
        for (Delivery& delivery : std::exchange(inFlight_, {})) {
            LoadBalancerNode& node = nodes[delivery.to];
            if (node.isStopped)
                continue;
            node.receivedBytes += delivery.envelope.payload.size() + maxPeerEnvelopeOverhead;
            ++node.receivedDatagrams;
            node.exchange->setView(view_);
            perform(node, node.exchange->handleMessage(delivery.envelope, clock.now()));
        }
        for (LoadBalancerNode& node : nodes) {
            if (node.isStopped || clock.now() < node.nextTick)
                continue;
            node.nextTick = clock.now() + tickInterval;
            node.exchange->setView(view_);
            if (node.exchange->isDue(clock.now()))
                perform(node, node.exchange->handleInterval(node.own, clock.now()));
        }
    }
}

void LoadFleet::perform(LoadBalancerNode& node, LoadActions actions)
{
    for (LoadAction& action : actions) {
        const auto* message = std::get_if<SendLoadMessage>(&action);
        if (!message) {
            node.events.push_back(std::move(action));
            continue;
        }
        node.sentBytes += message->payload->size() + maxPeerEnvelopeOverhead;
        const std::size_t to = message->to.address - addressOf(0).address;
        const PeerEnvelope envelope { node.id, node.incarnation, message->kind, *message->payload };
        if (!isLost || !isLost(node, nodes[to], envelope))
            inFlight_.push_back({ to, envelope });
    }
}

LoadBalancerNode& LoadFleet::aggregatorOf(const std::string& zone)
{
    const auto aggregates = [&](const LoadBalancerNode& node) {
        return node.zone == zone && !node.isStopped && node.exchange->isAggregator();
    };
    return *std::ranges::find_if(nodes, aggregates);
}

float LoadFleet::demand(const LoadBalancerNode& node, const std::string& service) const
{
    return node.exchange->loads(clock.now())[service].totalDemand();
}

float LoadFleet::demandOf(const std::string& zone, const LoadBalancerNode& node, const std::string& service) const
{
    return node.exchange->loads(clock.now())[service].demandOf(zone);
}

}
