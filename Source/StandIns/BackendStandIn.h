#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Server.h"
#include "StandIns/BackendFlowTable.h"
#include "StandIns/BackendStandInServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

struct BackendStandInOptions {
    std::vector<BackendSpec> servers;
    // The address to which replies to flow packets are sent; no replies while it is unset.
    std::optional<Endpoint> replyTo;
    // Address of the HTTP/2 admin interface.
    Endpoint admin;
    // Its connections are replaced by those of each BackendSpec.
    BackendFlowLimits flowLimits;
};

// Simulates one or more backend servers in one process, with one admin interface for experiments
// (docs/design/stand-ins.md). Started by the main program and by tests.
class BackendStandIn {
public:
    static Result<std::unique_ptr<BackendStandIn>> start(boost::asio::io_context&, const BackendStandInOptions&);
    ~BackendStandIn() = default;
    BackendStandIn(const BackendStandIn&) = delete;
    BackendStandIn& operator=(const BackendStandIn&) = delete;

    Endpoint adminAddress() const { return admin_->address(); }
    const std::vector<std::shared_ptr<BackendStandInServer>>& servers() const { return servers_; }

    void printListeningLines() const;
    void printFinalCounts() const;

private:
    explicit BackendStandIn(boost::asio::io_context&);

    void tick();
    HttpResponse handleAdmin(const HttpRequest&);

    boost::asio::steady_timer ticker_;
    std::vector<std::shared_ptr<BackendStandInServer>> servers_;
    std::unique_ptr<Http2Server> admin_;
};

}
