#pragma once

#include "Net/Http2Client.h"
#include "Net/Http2Events.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace wisteriadock {

class Http2ClientSession;

// One request on its way, shared by the client, which ends it, and the session that carries it.
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
    bool hasStartedSending = false; // The first byte of its HEADERS frame may have been handed to the socket.
    bool responseStarted = false;
    bool hasFinalStatus = false; // Informational answers (1xx) precede the final one.
    std::size_t headerBytes = 0;
    HttpResponse response;
};

}
