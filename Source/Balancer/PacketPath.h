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

// Receives the packets of flows on one UDP address with several threads and forwards each to the backend server or
// balancer that the flow engine selects. Runs from start() until it is destroyed. BalancerDaemon owns it.
class PacketPath {
public:
    // The engine must outlive the path. Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<PacketPath>> start(Endpoint, unsigned threads, FlowEngine&, BalancerId self);

    // The bound address. The kernel has chosen its port if port 0 was requested.
    Endpoint address() const { return address_; }
    PacketTotals totals() const;

private:
    PacketPath() = default;

    Endpoint address_;
    std::vector<std::unique_ptr<PacketWorker>> workers_;
};

}
