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

// The callbacks by which the callers of a zone query their run and report to it.
struct SoakCallerEvents {
    // Returns the address to which the routers send a packet of this flow, and the name of the balancer there.
    std::function<std::pair<Endpoint, std::string>(const FlowEnds&)> routePacket;
    // A request was answered, or the caller gave it up.
    std::function<void(bool isServed, const std::string& balancer, Endpoint route, TimePoint sent)> onRequest;
    // A balancer reset the flow.
    std::function<void(const FlowEnds&, const std::string& balancer, bool isOpen)> onReset;
    // A packet was malformed or had a wrong checksum.
    std::function<void()> onCorruptedPacket;
};

// The callers of one availability zone. Half of their flows carry one request, the others many with pauses between
// them. Callers repeat opening packets, retransmit requests and give up after a timeout. SoakRun opens flows and ticks.
class SoakCallers {
public:
    static Result<std::unique_ptr<SoakCallers>> open(
        boost::asio::io_context&, Endpoint own, std::uint64_t seed, const SoakCallerEvents&);
    SoakCallers(const SoakCallers&) = delete;
    SoakCallers& operator=(const SoakCallers&) = delete;

    // Sets the routes of new flows. Some flows still go to removed routes, as from callers with outdated routes.
    void setRoutes(std::vector<Endpoint> routes, std::vector<Endpoint> removed)
    {
        routes_ = std::move(routes);
        removedRoutes_ = std::move(removed);
    }
    // Opens `count` flows; on average every second one is long.
    void openFlows(std::size_t count, TimePoint now);
    // Sends due retransmissions and ends flows that timed out. To be called about every 20 ms.
    void tick(TimePoint now);

    // When the latest opening packet of a flow was sent, and through which balancer.
    struct Opening {
        TimePoint sent;
        std::string balancer;
    };
    // Null if the flow is unknown or has ended.
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
        // When the request in progress was first sent, and when the next retransmission, timeout or request is due.
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
    // Forgets the flow; with hasFailedRequest, reports its request as not served.
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
