#pragma once

#include "Membership/Membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// Simulated network between Membership instances in virtual time, with seeded random loss and delay and with blocked
// links.
class MembershipNetwork {
public:
    struct Node {
        Member self;
        std::unique_ptr<Membership> membership;
        bool isPaused = false;
        std::vector<PeerMessageReceived> inbox; // Datagrams that arrived while the node was paused.
        std::uint64_t bytesSent = 0;
        std::uint64_t datagramsSent = 0;
        std::uint64_t peakBytesPerSecond = 0;
        std::uint64_t bytesAtSecondStart = 0;
    };

    // Size of the IPv4 and UDP headers, added to the size of each datagram.
    static constexpr std::size_t headerBytes = 28;
    static constexpr std::chrono::milliseconds tickPeriod { 100 };

    explicit MembershipNetwork(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Starts a new balancer whose VM list names all balancers so far.
    std::size_t add(const std::string& availabilityZone)
    {
        const std::size_t index = addNode(availabilityZone);
        start(index);
        return index;
    }

    // Starts a new balancer whose VM list names only the first `seeds` balancers, including those not yet started.
    std::size_t addWithSeeds(const std::string& availabilityZone, std::size_t seeds)
    {
        const std::size_t index = addNode(availabilityZone);
        nodes_[index].membership = std::make_unique<Membership>(settings, nodes_[index].self, random_(), now);
        VmListReceived list;
        for (std::size_t seed = 0; seed < seeds; ++seed) {
            if (seed != index)
                list.vms.push_back({ peerAddressOf(seed), false });
        }
        perform(index, nodes_[index].membership->handle(list, now));
        return index;
    }

    void start(std::size_t index)
    {
        Node& node = nodes_[index];
        node.membership = std::make_unique<Membership>(settings, node.self, random_(), now);
        node.inbox.clear();
        publishVmList(index);
    }

    void restart(std::size_t index, std::uint64_t incarnation)
    {
        nodes_[index].self.incarnation = incarnation;
        start(index);
    }

    void publishVmList(std::size_t index)
    {
        VmListReceived list;
        for (const Node& node : nodes_)
            list.vms.push_back({ node.self.peerAddress, false });
        std::erase_if(list.vms, [&](const ListedVm& vm) { return vm.peerAddress == nodes_[index].self.peerAddress; });
        perform(index, nodes_[index].membership->handle(list, now));
    }

    void kill(std::size_t index) { nodes_[index].membership.reset(); }
    void pause(std::size_t index) { nodes_[index].isPaused = true; }
    // Handles the queued datagrams before the next tick, as a socket would deliver them.
    void resume(std::size_t index)
    {
        nodes_[index].isPaused = false;
        for (const auto& message : std::exchange(nodes_[index].inbox, {}))
            perform(index, nodes_[index].membership->handle(message, now));
    }

    void perform(std::size_t index, const MembershipActions& actions)
    {
        for (const MembershipAction& action : actions) {
            const auto* const message = std::get_if<SendPeerMessage>(&action);
            if (!message)
                continue;
            auto datagram = encodePeerEnvelope(message->envelope).value();
            nodes_[index].bytesSent += datagram.size() + headerBytes;
            ++nodes_[index].datagramsSent;
            const std::size_t to = message->to.address - 0x0A000001;
            const bool isLost = static_cast<double>(random_() % 10000) < loss * 10000;
            if (to >= nodes_.size() || isLost || (isCut && isCut(index, to)))
                continue;
            const auto delay = std::chrono::microseconds(500 + random_() % 1500);
            inFlight_.push({ now + delay, ++sent_, index, to, std::move(datagram) });
        }
    }

    void run(Duration span)
    {
        runUntil([] { return false; }, span);
    }

    // Runs until the condition holds, checked once per tick; returns false if the limit passed first.
    bool runUntil(const std::function<bool()>& condition, Duration limit)
    {
        const TimePoint end = now + limit;
        while (!condition()) {
            if (now >= end)
                return false;
            deliverUntil(now + tickPeriod);
            now += tickPeriod;
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].membership && !nodes_[i].isPaused)
                    perform(i, nodes_[i].membership->tick(now));
            }
            if (++ticks_ % 10 == 0)
                recordSecond();
        }
        return true;
    }

    std::vector<Node>& nodes() { return nodes_; }
    const std::vector<Node>& nodes() const { return nodes_; }
    bool isRunning(std::size_t index) const { return nodes_[index].membership && !nodes_[index].isPaused; }
    const MembersView& view(std::size_t index) const { return *nodes_[index].membership->view(); }
    const Member* viewedMember(std::size_t observer, std::size_t subject) const
    {
        return view(observer).find(nodes_[subject].self.id);
    }

    MembershipSettings settings;
    // Probability that a datagram is lost, 0 to 1.
    double loss = 0;
    // Link bandwidth of balancers that are added later, in Mbit/s.
    std::uint32_t linkMegabits = 0;
    // Whether datagrams on a link are dropped.
    std::function<bool(std::size_t from, std::size_t to)> isCut;
    TimePoint now = ManualClock().now();

private:
    struct InFlightDatagram {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<std::uint8_t> bytes;
        bool operator<(const InFlightDatagram& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static constexpr std::uint64_t firstIncarnation = 1'790'000'000'000;

    static std::uint32_t hostOf(std::size_t index) { return static_cast<std::uint32_t>(0x0A000001 + index); }
    static Endpoint peerAddressOf(std::size_t index) { return { hostOf(index), 7000 }; }

    // Adds a node without starting its balancer.
    std::size_t addNode(const std::string& availabilityZone)
    {
        const std::size_t index = nodes_.size();
        const std::string name = fmt::format("{}-{}", availabilityZone, index);
        nodes_.emplace_back();
        nodes_.back().self
            = { balancerIdOf(name), name, availabilityZone, peerAddressOf(index), { hostOf(index), 7001 },
                  { hostOf(index), 7002 }, firstIncarnation + index, MemberState::Serving, 0, linkMegabits };
        return index;
    }

    void deliverUntil(TimePoint end)
    {
        for (; !inFlight_.empty() && inFlight_.top().at <= end; inFlight_.pop()) {
            const InFlightDatagram& datagram = inFlight_.top();
            Node& node = nodes_[datagram.to];
            if (!node.membership)
                continue;
            now = datagram.at;
            const PeerMessageReceived message { nodes_[datagram.from].self.peerAddress,
                decodePeerEnvelope(datagram.bytes).value() };
            if (node.isPaused)
                node.inbox.push_back(message);
            else
                perform(datagram.to, node.membership->handle(message, now));
        }
        now = end - tickPeriod;
    }

    void recordSecond()
    {
        for (Node& node : nodes_) {
            node.peakBytesPerSecond = std::max(node.peakBytesPerSecond, node.bytesSent - node.bytesAtSecondStart);
            node.bytesAtSecondStart = node.bytesSent;
        }
    }

    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::priority_queue<InFlightDatagram> inFlight_;
    std::uint64_t sent_ = 0;
    std::uint64_t ticks_ = 0;
};

}
