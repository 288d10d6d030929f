#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Client.h"
#include "StandIns/CallerFlows.h"
#include "StandIns/CallerRequests.h"
#include "StandIns/DatagramSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace wisteriadock {

struct CallerStandInOptions {
    CallerFlowOptions flows;
    CallerRequestOptions requests;
    // The address to which flow packets are sent; unset when there are no flows.
    Endpoint fabric;
    // The address that receives the replies of the backend servers.
    Endpoint replyListen;
    // Addresses of the balancers for requests.
    std::vector<Endpoint> balancers;
    // The JSON file for the broken flows and the ended requests; empty for none.
    std::string recordFile;
};

// Simulates the customers: sends flows through the fabric and requests to the balancers, and checks the replies and
// answers. Stops the context when the run is over. Started by the main program and by tests.
class CallerStandIn {
public:
    static Result<std::unique_ptr<CallerStandIn>> start(boost::asio::io_context&, const CallerStandInOptions&);
    CallerStandIn(const CallerStandIn&) = delete;
    CallerStandIn& operator=(const CallerStandIn&) = delete;

    Endpoint replyAddress() const { return socket_->address(); }
    const CallerFlows& flows() const { return flows_; }
    const CallerRequests& requests() const { return requests_; }

    void printListeningLines() const;
    void printFinalCounts() const;
    // Fails with Unavailable when the record file can't be written.
    Result<void> writeRecords() const;

private:
    CallerStandIn(boost::asio::io_context&, const CallerStandInOptions&, TimePoint start);

    void handleDatagram(std::span<const std::uint8_t>);
    void processDueEvents();
    void scheduleNextEvent();
    void sendPackets(TimePoint now);
    void sendRequests(TimePoint now);
    void sendRequest(const PlannedRequest&);
    bool isOver(TimePoint now) const;

    boost::asio::io_context& context_;
    CallerStandInOptions options_;
    TimePoint end_;
    CallerFlows flows_;
    CallerRequests requests_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<DatagramSocket> socket_;
    std::vector<CallerPacket> packets_;
    std::uint64_t malformedDatagrams_ = 0;
    // Declared last: its callbacks use the members above until it is destroyed.
    std::vector<std::unique_ptr<Http2Client>> clients_;
};

}
