#include "Net/Http1Server.h"

#include "Net/AsioEndpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <optional>
#include <set>
#include <utility>

namespace wisteriadock {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using BoostErrorCode = boost::system::error_code;

namespace {

    // Longer than the interval between readiness checks, so that their connections are reused.
    constexpr auto idleTimeout = std::chrono::seconds(15);
    // No request of this server needs a body.
    constexpr std::uint64_t maxBodyBytes = 4096;
    constexpr std::uint32_t maxHeaderBytes = 8192;
    // Bounds the file descriptors and memory in use.
    constexpr std::size_t maxConnections = 64;
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

}

struct Http1Server::Shared {
    tcp::acceptor acceptor;
    Handler handler;
    boost::asio::steady_timer acceptTimer;
    std::set<std::shared_ptr<Connection>> connections {};
};

class Http1Server::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(std::weak_ptr<Shared> owner, tcp::socket socket)
        : owner_(std::move(owner))
        , socket_(std::move(socket))
        , timer_(socket_.get_executor())
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(maxHeaderBytes);
        parser_->body_limit(maxBodyBytes);
        timer_.expires_after(idleTimeout);
        timer_.async_wait([self = shared_from_this()](const BoostErrorCode& error) {
            if (!error)
                self->close();
        });
        http::async_read(
            socket_, buffer_, *parser_, [self = shared_from_this()](const BoostErrorCode& error, std::size_t) {
                error ? self->close() : self->handleRequest();
            });
    }

    void close()
    {
        timer_.cancel();
        BoostErrorCode ignored;
        socket_.close(ignored);
        if (const auto owner = owner_.lock())
            owner->connections.erase(shared_from_this());
    }

private:
    // Passes the response to its connection, which may have closed in the meantime.
    class Exchange : public Http1Exchange {
    public:
        Exchange(std::shared_ptr<Connection> connection, HttpRequest request)
            : connection_(std::move(connection))
            , request_(std::move(request))
        {
        }
        ~Exchange() override
        {
            if (connection_)
                connection_->close();
        }
        Exchange(const Exchange&) = delete;
        Exchange& operator=(const Exchange&) = delete;

        const HttpRequest& request() const override { return request_; }
        void respond(HttpResponse response) override
        {
            if (const auto connection = std::exchange(connection_, nullptr))
                connection->write(std::move(response));
        }

    private:
        std::shared_ptr<Connection> connection_;
        HttpRequest request_;
    };

    void handleRequest()
    {
        timer_.cancel();
        const auto owner = owner_.lock();
        if (!owner)
            return;
        const auto& message = parser_->get();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.path = std::string(message.target());
        owner->handler(std::make_shared<Exchange>(shared_from_this(), std::move(request)));
    }

    void write(HttpResponse response)
    {
        if (!socket_.is_open())
            return;
        response_ = {};
        response_.result(static_cast<unsigned>(response.status));
        response_.version(parser_->get().version());
        for (const HttpHeader& header : response.headers)
            response_.set(header.name, header.value);
        response_.body() = std::move(response.body);
        response_.keep_alive(parser_->get().keep_alive());
        response_.prepare_payload();
        http::async_write(socket_, response_, [self = shared_from_this()](const BoostErrorCode& error, std::size_t) {
            error || !self->response_.keep_alive() ? self->close() : self->read();
        });
    }

    std::weak_ptr<Shared> owner_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

Result<std::unique_ptr<Http1Server>> Http1Server::listen(
    boost::asio::io_context& context, Endpoint endpoint, Handler handler)
{
    tcp::acceptor acceptor(context);
    BoostErrorCode error;
    acceptor.open(tcp::v4(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(toTcp(endpoint), error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { ErrorCode::Unavailable,
            fmt::format("can't listen on {}: {}", endpoint.toString(), error.message()) };
    auto shared = std::make_shared<Shared>(
        Shared { std::move(acceptor), std::move(handler), boost::asio::steady_timer(context) });
    accept(shared);
    return std::unique_ptr<Http1Server>(new Http1Server(std::move(shared)));
}

Http1Server::Http1Server(std::shared_ptr<Shared> shared)
    : shared_(std::move(shared))
{
}

Http1Server::~Http1Server()
{
    BoostErrorCode ignored;
    shared_->acceptor.close(ignored);
    const auto connections = shared_->connections;
    for (const auto& connection : connections)
        connection->close();
}

Endpoint Http1Server::address() const
{
    BoostErrorCode ignored;
    return fromAsio(shared_->acceptor.local_endpoint(ignored));
}

void Http1Server::accept(const std::shared_ptr<Shared>& shared)
{
    shared->acceptor.async_accept([weak = std::weak_ptr(shared)](const BoostErrorCode& error, tcp::socket socket) {
        const auto owner = weak.lock();
        if (!owner || error == boost::asio::error::operation_aborted)
            return;
        if (error)
            return acceptLater(owner);
        if (owner->connections.size() < maxConnections) {
            auto connection = std::make_shared<Connection>(owner, std::move(socket));
            owner->connections.insert(connection);
            connection->read();
        }
        accept(owner);
    });
}

// Retries accepting after a delay. Without it the loop would use a whole processor while the process is out of file
// descriptors.
void Http1Server::acceptLater(const std::shared_ptr<Shared>& shared)
{
    shared->acceptTimer.expires_after(acceptRetryDelay);
    shared->acceptTimer.async_wait([weak = std::weak_ptr(shared)](const boost::system::error_code& error) {
        if (const auto owner = weak.lock(); owner && !error)
            accept(owner);
    });
}

}
