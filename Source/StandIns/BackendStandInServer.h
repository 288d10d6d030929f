#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Server.h"
#include "StandIns/BackendFlowTable.h"
#include "StandIns/BackendRequestTracker.h"
#include "StandIns/BackendSpec.h"
#include "StandIns/BackendStatus.h"
#include "StandIns/DatagramSocket.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <span>

namespace wisteriadock {

// How a server rejects a request that it does not run.
enum class RejectionMode {
    Status, // 503 with x-executed: no
    RefuseStream, // REFUSED_STREAM
};

// One simulated backend server of a BackendStandIn: its flow socket, its HTTP/2 server, its flow table and its
// requests.
class BackendStandInServer : public std::enable_shared_from_this<BackendStandInServer> {
public:
    // Starts listening. Replies to flow packets are sent to replyTo if it is set.
    static Result<std::shared_ptr<BackendStandInServer>> start(
        boost::asio::io_context&, const BackendSpec&, const BackendFlowLimits&, std::optional<Endpoint> replyTo);

    // Adds a status sample and removes expired flows. To be called several times a second.
    void tick(TimePoint now);

    const BackendSpec& spec() const { return spec_; }
    Endpoint flowAddress() const { return flowSocket_->address(); }
    Endpoint requestAddress() const { return requestServer_->address(); }
    const BackendFlowTable& flows() const { return flows_; }
    BackendRequestTracker& requests() { return requests_; }
    const BackendRequestTracker& requests() const { return requests_; }
    BackendStatus& status() { return status_; }
    // Received datagrams that are not valid flow packets.
    std::uint64_t malformedDatagrams() const { return malformedDatagrams_; }
    void setReplyTo(Endpoint replyTo) { replyTo_ = replyTo; }
    void setRejectionMode(RejectionMode mode) { rejectionMode_ = mode; }

private:
    BackendStandInServer(boost::asio::io_context&, const BackendSpec&, const BackendFlowLimits&);

    void handleDatagram(std::span<const std::uint8_t>);
    void handleRequest(const std::shared_ptr<Http2Exchange>&);
    void run(const std::shared_ptr<Http2Exchange>&, const BackendRequestTracker::Admission&);
    void answer(Http2Exchange&, RunOutcome) const;
    void shed(Http2Exchange&) const;
    HttpResponse healthResponse() const;
    HttpResponse loadResponse() const;
    BackendSample sample(TimePoint now) const;

    boost::asio::io_context& context_;
    BackendSpec spec_;
    BackendFlowTable flows_;
    BackendRequestTracker requests_;
    BackendStatus status_;
    std::unique_ptr<DatagramSocket> flowSocket_;
    std::unique_ptr<Http2Server> requestServer_;
    std::optional<Endpoint> replyTo_;
    RejectionMode rejectionMode_ = RejectionMode::Status;
    std::uint64_t malformedDatagrams_ = 0;
};

}
