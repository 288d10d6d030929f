#pragma once

#include "Balancer/PacketCounters.h"
#include "Core/Identifiers.h"
#include "Flow/FlowEngine.h"
#include "PacketIo/PacketSocket.h"

#include <atomic>
#include <memory>
#include <thread>

namespace wisteriadock {

class PacketBatch;

// One packet thread: receives datagrams from its socket in batches, routes each by the flow engine and sends it on. It
// allocates its buffers at the start and nothing per packet. PacketPath owns it.
class PacketWorker {
public:
    // Starts the thread. The engine must outlive the worker.
    PacketWorker(PacketSocket, FlowEngine&, BalancerId self);
    // Stops the thread and waits for it.
    ~PacketWorker();
    PacketWorker(const PacketWorker&) = delete;
    PacketWorker& operator=(const PacketWorker&) = delete;

    const PacketCounters& counters() const { return counters_; }

private:
    void run();
    void routeBatch();
    void routePacket(unsigned index, TimePoint now);

    PacketSocket socket_;
    FlowEngine& engine_;
    BalancerId self_;
    PacketCounters counters_;
    std::unique_ptr<PacketBatch> batch_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

}
