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

// How a server answers a request that it does not run.
enum class RejectionMode {
    Status, // 503 with x-executed: no
    RefuseStream, // REFUSED_STREAM
};

// One backend server of the stand-in process: its flow socket, its HTTP/2 server and its books.
class BackendStandInServer : public std::enable_shared_from_this<BackendStandInServer> {
public:
    // Listens at once. Replies to flow packets go to replyTo, if it is set.
    static Result<std::shared_ptr<BackendStandInServer>> start(
        boost::asio::io_context&, const BackendSpec&, const BackendFlowLimits&, std::optional<Endpoint> replyTo);

    // Samples the load and forgets old flows; to be called a few times a second.
    void tick(TimePoint now);

    const BackendSpec& spec() const { return spec_; }
    Endpoint flowAddress() const { return flowSocket_->address(); }
    Endpoint requestAddress() const { return requestServer_->address(); }
    const BackendFlowTable& flows() const { return flows_; }
    BackendRequestTracker& requests() { return requests_; }
    const BackendRequestTracker& requests() const { return requests_; }
    BackendStatus& status() { return status_; }
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
