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

// The callbacks by which a server reports to its run.
struct SoakServerEvents {
    // The first opening packet of a flow arrived.
    std::function<void(const RegisteredServer&, const FlowEnds&)> onOpening;
    // A packet was malformed or had a wrong checksum.
    std::function<void(const RegisteredServer&)> onCorruptedPacket;
};

// A stand-in for one incarnation of a backend server that uses the packet format with return tokens. It accepts flows
// and answers every request at once, directly to the caller. SoakRun creates the servers and writes their entries.
class SoakServer {
public:
    // Fails with Unavailable if the address cannot be bound. Callers receive packets at their address and callerPort.
    static Result<std::unique_ptr<SoakServer>> open(
        boost::asio::io_context&, RegisteredServer, std::uint16_t callerPort, const SoakServerEvents&);
    SoakServer(const SoakServer&) = delete;
    SoakServer& operator=(const SoakServer&) = delete;

    const RegisteredServer& entry() const { return entry_; }
    void drain() { entry_.readiness = ServerReadiness::Draining; }
    // Whether the flow is open here. A copy of an opening packet alone does not open a flow.
    bool hasOpenFlow(const FlowEnds&) const;
    // A full server ignores opening packets.
    void setFull(bool isFull) { isFull_ = isFull; }
    // How the server handles requests while its entry is ready.
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
