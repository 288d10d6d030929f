#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Limits.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace wisteriadock {

// A request and its pending response. The handler keeps it until it responds; destroying it without a response resets
// the stream with INTERNAL_ERROR.
class Http2Exchange {
public:
    virtual ~Http2Exchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends the response. Further calls, and calls after the client has reset the stream, are ignored.
    virtual void respond(HttpResponse) = 0;

    // Resets the stream with REFUSED_STREAM, which tells the client that the request was not processed.
    virtual void refuse() = 0;

    // Sets a callback that runs once if the client resets the stream or the connection closes before respond() or
    // refuse() is called.
    virtual void onCancelled(std::function<void()>) = 0;
};

// Accepts HTTP/2 connections with prior knowledge (no TLS) and passes complete requests to the handler. Requests over a
// limit get a 413 or 431 response, and malformed requests a stream reset, without reaching the handler. Not
// thread-safe: all calls and callbacks happen on the thread of the io_context.
class Http2Server {
public:
    using Handler = std::function<void(std::shared_ptr<Http2Exchange>)>;

    // Starts listening. Port 0 selects an ephemeral port. Fails with ErrorCode::Unavailable if the address can't be
    // bound.
    static Result<std::unique_ptr<Http2Server>> listen(boost::asio::io_context&, Endpoint, Handler, Http2Limits = {});
    virtual ~Http2Server() = default;

    virtual Endpoint address() const = 0;

    // Graceful shutdown: stops accepting connections, sends GOAWAY, completes the open streams and then runs the
    // callback.
    virtual void drain(std::function<void()> onDrained) = 0;

    // Requests that the handler has not responded to yet.
    virtual std::size_t openExchanges() const = 0;
    // TCP payload bytes sent and received so far.
    virtual std::uint64_t bytesTransferred() const = 0;
    // Malformed frames and messages, and messages and connections over a limit.
    virtual std::uint64_t protocolErrors() const = 0;
};

}
