#pragma once

#include "FaultProxy/DelayLine.h"
#include "FaultProxy/LinkFaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisteriadock {

using Bytes = std::vector<std::uint8_t>;

// One direction of one session of a link. Takes the units that one side sent, applies the faults to them and hands
// them to the other side when they are due. Used by TcpPipe and the sessions of UdpLink.
class Channel : public std::enable_shared_from_this<Channel> {
public:
    using Deliver = std::function<void(Bytes)>;

    // The counters and the random source must outlive the channel.
    Channel(boost::asio::io_context&, LinkProtocol, FaultCounters&, Random&, Deliver);

    void setSettings(const FaultSettings&);
    void push(Bytes);
    // Delivers nothing from now on; units that still wait are lost.
    void close();

    bool isResetting() const { return faults_.isResetting(); }
    bool isHolding() const { return faults_.isHolding(); }
    std::size_t bytesWaiting() const { return line_.bytes(); }

    static constexpr std::size_t capacityBytes = 4 << 20;

private:
    void deliverDue();
    void enqueue(TimePoint due, Bytes);
    void waitFor(TimePoint due);

    FaultCounters& counters_;
    Random& random_;
    LinkFaults faults_;
    DelayLine<Bytes> line_ { capacityBytes };
    boost::asio::steady_timer timer_;
    Deliver deliver_;
};

}
