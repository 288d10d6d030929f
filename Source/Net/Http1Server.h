#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace wisteriadock {

// A request and its pending response. The handler keeps it until it responds; destroying it without a response closes
// the connection.
class Http1Exchange {
public:
    virtual ~Http1Exchange() = default;

    virtual const HttpRequest& request() const = 0;
    // Sends the response. Further calls, and calls after the connection has closed, are ignored.
    virtual void respond(HttpResponse) = 0;
};

// Serves small HTTP/1.1 requests, such as readiness checks and metrics. Not thread-safe: all calls and callbacks happen
// on the thread of the io_context. Idle connections are closed after a timeout.
class Http1Server {
public:
    using Handler = std::function<void(const std::shared_ptr<Http1Exchange>&)>;

    // Starts listening. Port 0 selects an ephemeral port. Fails with ErrorCode::Unavailable if the address can't be
    // bound.
    static Result<std::unique_ptr<Http1Server>> listen(boost::asio::io_context&, Endpoint, Handler);
    ~Http1Server();
    Http1Server(const Http1Server&) = delete;
    Http1Server& operator=(const Http1Server&) = delete;

    Endpoint address() const;

private:
    class Connection;
    struct Shared;

    explicit Http1Server(std::shared_ptr<Shared>);
    static void accept(const std::shared_ptr<Shared>&);
    static void acceptLater(const std::shared_ptr<Shared>&);

    std::shared_ptr<Shared> shared_;
};

}
