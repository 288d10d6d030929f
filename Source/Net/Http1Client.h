#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Net/Http2Client.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace wisteriadock {

// Limits on the memory and connections that one HTTP/1.1 server can take up in this process. Sizes are per message.
struct Http1Limits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(16) * 1024 * 1024;
    // Maximum number of idle connections kept for reuse; any other connection is closed after its response.
    std::size_t idleConnections = 2;
    // Maximum time between two reads of one response after the deadline of its request.
    std::chrono::milliseconds readTimeout { 700 };
};

// Sends requests to one HTTP/1.1 server. Concurrent requests use separate connections, and idle connections are reused.
// The interface of send() is that of Http2Client, so that a platform client can use either. Requests are never retried:
// only the caller knows whether that is safe. Not thread-safe: all calls and callbacks happen on the thread of the
// io_context.
class Http1Client {
public:
    using Callback = std::function<void(HttpOutcome)>;

    Http1Client(boost::asio::io_context&, Endpoint server, Http1Limits = {});
    // Ends every open request with HttpFailureKind::Cancelled before it returns.
    ~Http1Client();
    Http1Client(const Http1Client&) = delete;
    Http1Client& operator=(const Http1Client&) = delete;

    // Sends a request. The callback runs exactly once, never inside this call. The response must start before the
    // deadline. Once it has started, it may continue past the deadline, as long as no read takes longer than
    // Http1Limits::readTimeout. On a timeout the connection is closed, because it may be dead.
    void send(HttpRequest, TimePoint deadline, Callback);

    // Body bytes of a response whose content-length is known.
    struct Progress {
        std::uint64_t received = 0;
        std::uint64_t total = 0;
    };
    // The progress of the open response with the most bytes left to receive; empty if there is none.
    std::optional<Progress> progress() const;
    // Ends all open requests with HttpFailureKind::Cancelled; their callbacks run inside this call.
    void cancelAll();

    // Closes the idle connections, so that the next request opens a new one.
    void closeIdle();

    // TCP payload bytes sent and received so far, for the control-traffic metrics.
    std::uint64_t bytesTransferred() const;

private:
    class Exchange;
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

}
