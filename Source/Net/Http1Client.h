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

// Bounds on what one HTTP/1.1 server can make this process hold.
struct Http1Limits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(16) * 1024 * 1024;
    // Connections that wait for their next request; further ones are closed after their answer.
    std::size_t idleConnections = 2;
    // An answer that has begun may come after the deadline if each piece of it comes so soon after the one before.
    std::chrono::milliseconds readTimeout { 700 };
};

// Requests to one HTTP/1.1 server, each on a connection of its own that is kept for the next one. It has the interface
// of Http2Client, so that a client of the platform can run over either. A request is sent once: whether it may be sent
// again only the caller can tell. Not thread-safe: all calls and callbacks happen on the thread of the io_context.
class Http1Client {
public:
    using Callback = std::function<void(HttpOutcome)>;

    Http1Client(boost::asio::io_context&, Endpoint server, Http1Limits = {});
    // Every open request ends with Cancelled before the destructor returns.
    ~Http1Client();
    Http1Client(const Http1Client&) = delete;
    Http1Client& operator=(const Http1Client&) = delete;

    // Sends a request. The callback runs exactly once, never inside this call. The answer must begin by the deadline
    // and then keep coming (Http1Limits::readTimeout). A connection whose answer is late is closed, because it may
    // have gone silent for good.
    void send(HttpRequest, TimePoint deadline, Callback);

    // How much has come of an answer that says how long it is.
    struct Progress {
        std::uint64_t received = 0;
        std::uint64_t total = 0;
    };
    // Of the open requests' answers the one of which most is to come; none while none has begun.
    std::optional<Progress> progress() const;
    // Gives all open requests up: they end with Cancelled, inside this call.
    void cancelAll();

    // Closes the connections that wait for a request, so that the next one opens a fresh connection.
    void closeIdle();

    // Payload bytes of requests and answers, for the control-traffic metrics.
    std::uint64_t bytesTransferred() const;

private:
    class Exchange;
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

}
