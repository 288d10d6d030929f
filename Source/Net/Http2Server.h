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

// One request being answered. The handler keeps it for as long as it needs; letting it go without an answer resets
// the stream with INTERNAL_ERROR, never with a short success.
class Http2Exchange {
public:
    virtual ~Http2Exchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Answers once; later calls, and calls after the caller reset the stream, are ignored.
    virtual void respond(HttpResponse) = 0;

    // Resets the stream with REFUSED_STREAM: tells the caller that the request was not acted on.
    virtual void refuse() = 0;

    // Runs once when the caller resets the stream or its connection ends before the answer was handed over.
    virtual void onCancelled(std::function<void()>) = 0;
};

// Accepts HTTP/2 connections with prior knowledge (no TLS) and hands whole requests to the handler.
// Requests over a limit are answered 413 or 431 without reaching the handler; malformed ones reset the stream.
// Not thread-safe: all calls and callbacks happen on the one thread that runs the io_context.
class Http2Server {
public:
    using Handler = std::function<void(std::shared_ptr<Http2Exchange>)>;

    // Listens at once; a port of 0 takes an ephemeral one. Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<Http2Server>> listen(boost::asio::io_context&, Endpoint, Handler, Http2Limits = {});
    virtual ~Http2Server() = default;

    virtual Endpoint address() const = 0;

    // Graceful shutdown: accepts no new connection, sends GOAWAY, lets open streams finish, then runs the callback.
    virtual void drain(std::function<void()> onDrained) = 0;

    virtual std::size_t openExchanges() const = 0;
    virtual std::uint64_t bytesTransferred() const = 0;
    // Frames, headers or bodies that were malformed or over a limit.
    virtual std::uint64_t protocolErrors() const = 0;
};

}
