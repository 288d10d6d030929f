#pragma once

#include "Net/Http2Client.h"
#include "Net/Http2Events.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace wisteriadock {

class Http2ClientSession;

// The state of one open request, shared by the Http2Client, which runs its callback, and the Http2ClientSession that
// sends it.
struct Http2ClientRequest {
    explicit Http2ClientRequest(boost::asio::io_context& context)
        : deadline(context)
    {
    }

    Http2Client::RequestId id = 0;
    Http2Client::Callback callback;
    boost::asio::steady_timer deadline;

    std::weak_ptr<Http2ClientSession> session;
    Http2Events::StreamId stream = 0;
    bool hasStartedSending = false; // The first byte of its HEADERS frame may have been written to the socket.
    bool responseStarted = false;
    bool hasFinalStatus = false; // Informational responses (1xx) may precede the final response.
    std::size_t headerBytes = 0;
    HttpResponse response;
};

}
