#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/Http2Limits.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace wisteriadock {

// Why a request has no complete response. Only after NotSent and Refused is it certain that the server did not process
// the request, so that any request may be sent again.
enum class HttpFailureKind {
    NotSent, // No byte of the request was sent: connecting failed, or the request was still queued.
    Refused, // The server did not process the request: REFUSED_STREAM, or GOAWAY with a lower last stream ID.
    Lost, // The connection closed or the stream was reset after sending; the server may have processed the request.
    DeadlineExceeded, // The deadline passed after sending; the server may have processed the request.
    Cancelled, // The request was cancelled after sending; the server may have processed it.
    Incomplete, // The response started but was truncated, exceeded a limit or did not match its content-length.
};

std::string_view nameOf(HttpFailureKind);

struct HttpFailure {
    HttpFailureKind kind = HttpFailureKind::NotSent;
    std::string detail;
};

using HttpOutcome = boost::outcome_v2::basic_result<HttpResponse, HttpFailure, boost::outcome_v2::policy::terminate>;

// Sends requests to one HTTP/2 server as streams of one connection, which is opened on first use and again after it
// has closed. Requests are never retried. Not thread-safe: all calls and callbacks happen on the thread of the
// io_context.
class Http2Client {
public:
    using Callback = std::function<void(HttpOutcome)>;
    using RequestId = std::uint64_t;

    Http2Client(boost::asio::io_context&, Endpoint server, Http2Limits = {});
    // Ends every open request with HttpFailureKind::Cancelled or NotSent before it returns.
    ~Http2Client();
    Http2Client(const Http2Client&) = delete;
    Http2Client& operator=(const Http2Client&) = delete;

    // Sends a request. The callback runs exactly once, never inside this call.
    RequestId send(HttpRequest, TimePoint deadline, Callback);

    // Resets the stream of the request (RST_STREAM with CANCEL). The callback later runs with Cancelled, or with
    // NotSent if no byte was sent. The ID of a request that has ended is ignored.
    void cancel(RequestId);

    std::size_t openRequests() const;
    // TCP payload bytes sent and received so far, for the control-traffic metrics.
    std::uint64_t bytesTransferred() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}
