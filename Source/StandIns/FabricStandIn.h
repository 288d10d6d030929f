#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Server.h"
#include "StandIns/DatagramSocket.h"
#include "StandIns/FabricSprayer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace wisteriadock {

struct FabricStandInOptions {
    // UDP address that receives the callers' datagrams.
    Endpoint listen;
    // Address of the HTTP/2 admin interface.
    Endpoint admin;
    std::uint64_t seed = 1;
    std::vector<FabricTarget> balancers;
};

// Simulates the network fabric in front of the balancers: forwards each datagram to a randomly chosen balancer. Started
// by the main program and by tests.
class FabricStandIn {
public:
    static Result<std::unique_ptr<FabricStandIn>> start(boost::asio::io_context&, const FabricStandInOptions&);
    FabricStandIn(const FabricStandIn&) = delete;
    FabricStandIn& operator=(const FabricStandIn&) = delete;

    Endpoint address() const { return socket_->address(); }
    Endpoint adminAddress() const { return admin_->address(); }
    const FabricSprayer& sprayer() const { return sprayer_; }

    void printListeningLines() const;
    void printFinalCounts() const;

private:
    explicit FabricStandIn(std::uint64_t seed);

    void handleDatagram(std::span<const std::uint8_t>);
    HttpResponse handleAdmin(const HttpRequest&);
    HttpResponse countsAnswer() const;

    FabricSprayer sprayer_;
    std::unique_ptr<DatagramSocket> socket_;
    std::unique_ptr<Http2Server> admin_;
    std::uint64_t packets_ = 0;
    std::uint64_t malformedDatagrams_ = 0;
};

// Parses a list such as ["192.0.2.1:4000", {"address": "192.0.2.2:4000", "weight": 0.5}].
Result<std::vector<FabricTarget>> parseFabricTargets(std::string_view json);

}
