#pragma once

#include "Forward/RegisteredServer.h"
#include "Forward/TokenPacket.h"
#include "Net/UdpSocket.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace wisteriadock {

// What a server tells its run.
struct SoakServerEvents {
    std::function<void(const RegisteredServer&, const FlowEnds&)> onOpening;
    std::function<void(const RegisteredServer&)> onCorruptedPacket;
};

// A stand-in for one incarnation of a backend server in the packet form with return tokens: it takes flows, answers
// every request at once with an answer of its own, and answers the caller directly.
class SoakServer {
public:
    // Fails with Unavailable when the address can't be bound. Callers take packets at their address and this port.
    static Result<std::unique_ptr<SoakServer>> open(
        boost::asio::io_context&, RegisteredServer, std::uint16_t callerPort, const SoakServerEvents&);
    SoakServer(const SoakServer&) = delete;
    SoakServer& operator=(const SoakServer&) = delete;

    const RegisteredServer& entry() const { return entry_; }
    void drain() { entry_.readiness = ServerReadiness::Draining; }
    // Whether the flow is open here. A copy of its opening packet may have come here too and opened nothing.
    bool hasOpenFlow(const FlowEnds&) const;
    // Takes no new flows, as a server that is full.
    void setFull(bool isFull) { isFull_ = isFull; }
    // What it does with requests, while its entry says that it is ready.
    enum class RequestBehaviour { Respond, Ignore, Reset };
    void setRequestBehaviour(RequestBehaviour behaviour) { requestBehaviour_ = behaviour; }

private:
    struct Flow {
        std::uint32_t ownSequence = 0;
        std::uint32_t callerSequence = 0;
        std::uint32_t token = 0;
        bool isOpen = false;
    };

    SoakServer(RegisteredServer, std::uint16_t callerPort, const SoakServerEvents&);

    void receive(std::span<const std::uint8_t> datagram);
    void handleOpening(const TokenPacket&);
    void handleTraffic(const TokenPacket&);
    void reset(const TokenPacket&);
    void reply(const FlowEnds&, const Flow&, TokenPacket, std::span<const std::uint8_t> payload = {});

    RegisteredServer entry_;
    std::uint16_t callerPort_;
    const SoakServerEvents& events_;
    std::unique_ptr<UdpSocket> socket_;
    std::map<FlowEnds, Flow, bool (*)(const FlowEnds&, const FlowEnds&)> flows_;
    std::uint32_t nextSequence_ = 100;
    bool isFull_ = false;
    RequestBehaviour requestBehaviour_ = RequestBehaviour::Respond;
};

}
