#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace wisteriadock {

// Answers short HTTP/1.1 requests at once: readiness checks and metrics. Everything happens on the thread of the
// io_context, so it costs nothing while nobody asks. Connections that stay silent for long are closed.
class Http1Server {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

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

    std::shared_ptr<Shared> shared_;
};

}
