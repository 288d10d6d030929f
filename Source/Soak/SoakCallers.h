#pragma once

#include "Core/Clock.h"
#include "Forward/TokenPacket.h"
#include "Net/UdpSocket.h"
#include "StandIns/SeededRandom.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// What the callers of a zone need from their run, and tell it.
struct SoakCallerEvents {
    // Where the routers hand a packet of this flow, and the name of the balancer there.
    std::function<std::pair<Endpoint, std::string>(const FlowEnds&)> routePacket;
    std::function<void(bool isServed, const std::string& balancer, Endpoint route, TimePoint sent)> onRequest;
    std::function<void(const FlowEnds&, const std::string& balancer, bool isOpen)> onReset;
    std::function<void()> onCorruptedPacket;
};

// The callers of one availability zone: flows for one request, and long ones for many with pauses. They copy opening
// packets, retransmit, use open flows until those end, and give up after a while.
class SoakCallers {
public:
    static Result<std::unique_ptr<SoakCallers>> open(
        boost::asio::io_context&, Endpoint own, std::uint64_t seed, const SoakCallerEvents&);
    SoakCallers(const SoakCallers&) = delete;
    SoakCallers& operator=(const SoakCallers&) = delete;

    // Where new flows go. Some still go to routes that were removed, as those of callers who have not heard of it.
    void setRoutes(std::vector<Endpoint> routes, std::vector<Endpoint> removed)
    {
        routes_ = std::move(routes);
        removedRoutes_ = std::move(removed);
    }
    // Opens this many flows; every second one stays for more requests.
    void openFlows(std::size_t count, TimePoint now);
    // Sends copies and retransmissions that are due, and gives up. Call it every 20 ms or so.
    void tick(TimePoint now);

    // When the latest opening packet of the flow was sent and through which balancer; for the checker.
    struct Opening {
        TimePoint sent;
        std::string balancer;
    };
    const Opening* openingOf(const FlowEnds&) const;

private:
    enum class State {
        Opening,
        Idle,
        AwaitingResponse,
    };

    struct Flow {
        FlowEnds ends;
        State state = State::Opening;
        bool isLong = false;
        std::uint32_t copies = 0;
        std::uint32_t token = 0;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        // When the first packet of this request was sent, and when it is sent again.
        TimePoint requestedAt;
        TimePoint nextActionAt;
        std::chrono::milliseconds retransmitInterval { 0 };
        std::uint32_t requestsLeft = 0;
        Opening opening;
        std::string lastBalancer;
    };

    SoakCallers(Endpoint own, std::uint64_t seed, const SoakCallerEvents&);

    void receive(std::span<const std::uint8_t> datagram);
    void handleServerPacket(Flow&, const TokenPacket&, TimePoint now);
    void sendOpening(Flow&, TimePoint now);
    void startRequest(Flow&, TimePoint now);
    void sendRequest(Flow&);
    void send(Flow&, TokenPacket, std::size_t payloadBytes);
    // The flow is over, with a request that was not served or without one.
    void endFlow(std::uint16_t port, bool hasFailedRequest);

    Endpoint own_;
    SeededRandom random_;
    const SoakCallerEvents& events_;
    std::unique_ptr<UdpSocket> socket_;
    std::vector<Endpoint> routes_;
    std::vector<Endpoint> removedRoutes_;
    std::map<std::uint16_t, Flow> flows_;
    std::uint16_t nextPort_ = 1024;
};

}
