#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace wisteriadock {

// One request being answered. The handler keeps it for as long as it needs; letting it go without an answer closes the
// connection.
class Http1Exchange {
public:
    virtual ~Http1Exchange() = default;

    virtual const HttpRequest& request() const = 0;
    // Answers once. Later calls, and calls after the connection ended, are ignored.
    virtual void respond(HttpResponse) = 0;
};

// Answers short HTTP/1.1 requests: readiness checks and metrics. Everything happens on the thread of the io_context, so
// it costs nothing while nobody asks. Connections that stay silent for long are closed.
class Http1Server {
public:
    using Handler = std::function<void(const std::shared_ptr<Http1Exchange>&)>;

    // Listens at once; a port of 0 takes an ephemeral one. Fails with Unavailable when the address can't be bound.
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
