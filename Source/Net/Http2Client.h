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

// Why a request has no answer. The distinction decides whether work may be sent again.
enum class HttpFailureKind {
    NotSent, // No byte of the request left this process: connect failed, or it still waited its turn.
    Refused, // The server said provably that it did not act: REFUSED_STREAM, or GOAWAY with a lower last stream id.
    Lost, // The connection or stream broke after sending: the server may have acted.
    DeadlineExceeded, // The deadline passed after sending: the server may have acted; the stream was reset.
    Cancelled, // cancel() was called after sending: the server may have acted; the stream was reset.
    Incomplete, // The answer began but was cut short, or broke a limit or its content-length.
};

std::string_view nameOf(HttpFailureKind);

struct HttpFailure {
    HttpFailureKind kind = HttpFailureKind::NotSent;
    std::string detail;
};

using HttpOutcome = boost::outcome_v2::basic_result<HttpResponse, HttpFailure, boost::outcome_v2::policy::terminate>;

// One HTTP/2 connection to one server, opened on first use and reopened after it broke. Requests share it as streams.
// Not thread-safe: all calls and callbacks happen on the one thread that runs the io_context.
class Http2Client {
public:
    using Callback = std::function<void(HttpOutcome)>;
    using RequestId = std::uint64_t;

    Http2Client(boost::asio::io_context&, Endpoint server, Http2Limits = {});
    // Every open request ends with Cancelled or NotSent before the destructor returns.
    ~Http2Client();
    Http2Client(const Http2Client&) = delete;
    Http2Client& operator=(const Http2Client&) = delete;

    // Sends a request. The callback runs exactly once, never inside this call.
    RequestId send(HttpRequest, TimePoint deadline, Callback);

    // Resets the request's stream (RST_STREAM CANCEL); its callback runs with Cancelled, or NotSent if nothing left.
    // An id that has ended already is ignored.
    void cancel(RequestId);

    std::size_t openRequests() const;
    // Bytes written to and read from the socket so far, for the control-traffic metrics.
    std::uint64_t bytesTransferred() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}
