#pragma once

#include "Balancer/BackendServerSelector.h"
#include "Balancer/RequestControl.h"
#include "Balancer/RequestCounts.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Client.h"
#include "Net/Http2Server.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace wisteriadock {

// Accepts callers' requests over HTTP/2 and passes them to RequestControl. Without a RequestControl, a baseline that
// ignores keys, it forwards each to the backend server that the selector chooses and returns the complete response.
// Requests that name no service are offered to the built-in pages first. BalancerDaemon owns it. Everything runs on the
// thread of the io_context.
class RequestFrontend {
public:
    // Answers the exchange and returns true, or leaves it alone and returns false.
    using BuiltInPages = std::function<bool(const std::shared_ptr<Http2Exchange>&)>;

    // Starts listening. The selector must outlive this object. Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<RequestFrontend>> listen(
        boost::asio::io_context&, Endpoint, Http2Limits, BackendServerSelector&, BuiltInPages);
    ~RequestFrontend();
    RequestFrontend(const RequestFrontend&) = delete;
    RequestFrontend& operator=(const RequestFrontend&) = delete;

    // Sets the RequestControl that handles all further requests; it must outlive this object or be replaced. Null
    // selects the baseline.
    void setControl(RequestControl* control) { control_ = control; }
    // A baseline for experiments: sends a request again after any failure, even if its work may have run.
    void retryBlindly() { retriesBlindly_ = true; }
    void applyConfiguration(std::shared_ptr<const Configuration>);
    // Accepts no new connections and runs the callback once every open request has been answered.
    void drain(std::function<void()> onDrained);

    Endpoint address() const;
    std::size_t openRequests() const;
    const RequestCounts& counts() const { return counts_; }
    std::uint64_t protocolErrors() const;

private:
    RequestFrontend(boost::asio::io_context&, Http2Limits, BackendServerSelector&, BuiltInPages);

    void handle(const std::shared_ptr<Http2Exchange>&);
    void forward(const std::shared_ptr<Http2Exchange>&, const ForwardRequest&, int attempts);
    void finish(const std::shared_ptr<Http2Exchange>&, const ForwardRequest&, int attempts, HttpOutcome);
    void refuse(Http2Exchange&, const RequestProblem&);
    void cancel(Endpoint server, Http2Client::RequestId);
    void count(RequestOutcomeKind outcome) { ++counts_[static_cast<std::size_t>(outcome)]; }
    Http2Client& clientOf(Endpoint server);

    boost::asio::io_context& context_;
    Http2Limits limits_;
    BackendServerSelector& selector_;
    BuiltInPages builtInPages_;
    RequestControl* control_ = nullptr;
    bool retriesBlindly_ = false;
    RequestCounts counts_ {};
    // Destroyed after the server, whose open exchanges may still cancel requests here.
    std::map<Endpoint, std::unique_ptr<Http2Client>> clients_;
    std::unique_ptr<Http2Server> server_;
};

}
