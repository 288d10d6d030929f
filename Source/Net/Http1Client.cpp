#include "Net/Http1Client.h"

#include "Net/AsioEndpoint.h"

#include <absl/strings/ascii.h>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <set>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using BoostErrorCode = boost::system::error_code;

struct Http1Client::Shared {
    boost::asio::io_context& context;
    Endpoint server;
    Http1Limits limits;
    std::vector<tcp::socket> idle {};
    std::set<Exchange*> open {};
    std::uint64_t bytes = 0;
    bool isClosed = false;
};

// One request and its response on one connection. Pending operations keep it alive; finish() runs the callback once.
class Http1Client::Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(std::shared_ptr<Shared> shared, HttpRequest request, Callback callback)
        : shared_(std::move(shared))
        , socket_(shared_->context)
        , timer_(shared_->context)
        , callback_(std::move(callback))
    {
        request_.method_string(request.method);
        request_.target(request.path);
        request_.version(11);
        request_.set(http::field::host, request.authority);
        for (const HttpHeader& header : request.headers)
            request_.set(header.name, header.value);
        request_.body() = std::move(request.body);
        request_.prepare_payload();
        parser_.header_limit(static_cast<std::uint32_t>(shared_->limits.headerBytes));
        parser_.body_limit(shared_->limits.bodyBytes);
        // Parses the available part of the body together with the headers.
        parser_.eager(true);
    }

    void start(TimePoint deadline)
    {
        shared_->open.insert(this);
        startDeadlineTimer(deadline);
        if (!shared_->idle.empty()) {
            socket_ = std::move(shared_->idle.back());
            shared_->idle.pop_back();
            write();
            return;
        }
        socket_.async_connect(toTcp(shared_->server), [self = shared_from_this()](const BoostErrorCode& error) {
            if (error)
                self->fail(HttpFailureKind::NotSent, "connect: " + error.message());
            else
                self->onConnected();
        });
    }

    void fail(HttpFailureKind kind, std::string detail)
    {
        // No byte was sent if the connection was not established.
        if (kind == HttpFailureKind::DeadlineExceeded && !hasStartedSending_)
            kind = HttpFailureKind::NotSent;
        BoostErrorCode ignored;
        socket_.close(ignored);
        finish(HttpFailure { kind, std::move(detail) });
    }

    std::optional<Progress> progress() const
    {
        if (!parser_.is_header_done() || !parser_.content_length())
            return std::nullopt;
        const std::uint64_t total = *parser_.content_length();
        return Progress { total - parser_.content_length_remaining().value_or(total), total };
    }

private:
    void startDeadlineTimer(TimePoint deadline)
    {
        timer_.expires_at(deadline);
        timer_.async_wait([self = shared_from_this()](const BoostErrorCode& error) {
            if (!error)
                self->fail(HttpFailureKind::DeadlineExceeded, "no response before the deadline");
        });
    }

    void onConnected()
    {
        if (!callback_)
            return;
        BoostErrorCode ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        write();
    }

    void write()
    {
        hasStartedSending_ = true;
        http::async_write(
            socket_, request_, [self = shared_from_this()](const BoostErrorCode& error, std::size_t bytes) {
                self->shared_->bytes += bytes;
                if (error)
                    self->fail(HttpFailureKind::Lost, "write: " + error.message());
                else if (self->callback_)
                    self->read();
            });
    }

    void read()
    {
        http::async_read_some(
            socket_, buffer_, parser_, [self = shared_from_this()](const BoostErrorCode& error, std::size_t bytes) {
                self->shared_->bytes += bytes;
                self->onRead(error);
            });
    }

    void onRead(const BoostErrorCode& error)
    {
        if (!callback_)
            return;
        if (error)
            fail(parser_.is_header_done() ? HttpFailureKind::Incomplete : HttpFailureKind::Lost,
                "read: " + error.message());
        else if (parser_.is_done())
            succeed();
        else
            continueReading();
    }

    // Extends the deadline while the response makes progress, so that a large response can complete over a slow link
    // instead of being requested again.
    void continueReading()
    {
        const TimePoint readDeadline = Clock::now() + shared_->limits.readTimeout;
        if (readDeadline > timer_.expiry())
            startDeadlineTimer(readDeadline);
        read();
    }

    void succeed()
    {
        if (!callback_)
            return;
        auto message = parser_.release();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            response.headers.push_back(
                { absl::AsciiStrToLower(std::string(field.name_string())), std::string(field.value()) });
        response.body = std::move(message.body());
        const bool isReusable = message.keep_alive() && buffer_.size() == 0 && !shared_->isClosed
            && shared_->idle.size() < shared_->limits.idleConnections;
        if (isReusable)
            shared_->idle.push_back(std::move(socket_));
        finish(std::move(response));
    }

    void finish(HttpOutcome outcome)
    {
        if (!callback_)
            return;
        timer_.cancel();
        shared_->open.erase(this);
        const Callback callback = std::exchange(callback_, nullptr);
        callback(std::move(outcome));
    }

    std::shared_ptr<Shared> shared_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    http::request<http::string_body> request_;
    http::response_parser<http::string_body> parser_;
    boost::beast::flat_buffer buffer_;
    Callback callback_;
    bool hasStartedSending_ = false;
};

Http1Client::Http1Client(boost::asio::io_context& context, Endpoint server, Http1Limits limits)
    : shared_(std::make_shared<Shared>(Shared { .context = context, .server = server, .limits = limits }))
{
}

Http1Client::~Http1Client()
{
    shared_->isClosed = true;
    cancelAll();
    shared_->idle.clear();
}

std::optional<Http1Client::Progress> Http1Client::progress() const
{
    std::optional<Progress> mostRemaining;
    for (const Exchange* exchange : shared_->open) {
        const auto progress = exchange->progress();
        const bool hasMoreRemaining = progress
            && (!mostRemaining
                || progress->total - progress->received > mostRemaining->total - mostRemaining->received);
        if (hasMoreRemaining)
            mostRemaining = progress;
    }
    return mostRemaining;
}

void Http1Client::cancelAll()
{
    // Requests that the callbacks send stay open, hence the copy.
    const std::vector<Exchange*> open(shared_->open.begin(), shared_->open.end());
    for (Exchange* exchange : open) {
        if (shared_->open.contains(exchange))
            exchange->fail(HttpFailureKind::Cancelled, "the request was cancelled");
    }
}

void Http1Client::send(HttpRequest request, TimePoint deadline, Callback callback)
{
    std::make_shared<Exchange>(shared_, std::move(request), std::move(callback))->start(deadline);
}

void Http1Client::closeIdle() { shared_->idle.clear(); }

std::uint64_t Http1Client::bytesTransferred() const { return shared_->bytes; }

}
