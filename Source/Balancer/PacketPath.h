#pragma once

#include "Balancer/PacketCounters.h"
#include "Balancer/PacketWorker.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Flow/FlowEngine.h"

#include <memory>
#include <vector>

namespace wisteriadock {

// Takes the packets of flows on one UDP address with several threads and sends them to the backend server or balancer
// that the flow engine names. Runs from start() until it is destroyed.
class PacketPath {
public:
    // The engine outlives the path. Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<PacketPath>> start(Endpoint, unsigned threads, FlowEngine&, BalancerId self);

    // The bound address; its port was chosen by the kernel if the wanted one was 0.
    Endpoint address() const { return address_; }
    PacketTotals totals() const;

private:
    PacketPath() = default;

    Endpoint address_;
    std::vector<std::unique_ptr<PacketWorker>> workers_;
};

}
