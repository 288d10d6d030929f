#include "Balancer/PacketPath.h"

#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // How often an idle packet thread checks whether it should stop.
    constexpr auto stopLatency = 100ms;

    Result<std::vector<PacketSocket>> openSockets(Endpoint endpoint, unsigned count)
    {
        std::vector<PacketSocket> sockets;
        BOOST_OUTCOME_TRY(first, PacketSocket::open(endpoint));
        sockets.push_back(std::move(first));
        while (sockets.size() < count) {
            BOOST_OUTCOME_TRY(next, PacketSocket::join(sockets.front()));
            sockets.push_back(std::move(next));
        }
        if (count > 1) {
            BOOST_OUTCOME_TRY(sockets.front().steerByClient(count));
        }
        for (PacketSocket& socket : sockets) {
            BOOST_OUTCOME_TRY(socket.setReceiveTimeout(stopLatency));
        }
        return sockets;
    }

}

Result<std::unique_ptr<PacketPath>> PacketPath::start(
    Endpoint endpoint, unsigned threads, FlowEngine& engine, BalancerId self)
{
    BOOST_OUTCOME_TRY(sockets, openSockets(endpoint, threads));
    std::unique_ptr<PacketPath> path(new PacketPath);
    path->address_ = sockets.front().address();
    for (PacketSocket& socket : sockets)
        path->workers_.push_back(std::make_unique<PacketWorker>(std::move(socket), engine, self));
    return path;
}

PacketTotals PacketPath::totals() const
{
    PacketTotals totals;
    for (const auto& worker : workers_)
        worker->counters().addTo(totals);
    return totals;
}

}
