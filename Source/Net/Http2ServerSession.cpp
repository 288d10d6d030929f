#include "Net/Http2ServerSession.h"

#include <charconv>
#include <utility>

namespace wisteriadock {

namespace {

    // Bytes that HTTP/2 adds per field to the size of a header list (RFC 9113, 6.5.2).
    constexpr std::size_t fieldOverhead = 32;

    // Time that a client has to acknowledge the ping after the shutdown notice; then the final GOAWAY is sent anyway.
    constexpr std::chrono::seconds shutdownNoticeTimeout { 1 };

    constexpr int contentTooLarge = 413;
    constexpr int headerFieldsTooLarge = 431;

    void setField(HttpRequest& request, std::string_view name, std::string_view value)
    {
        if (name == ":method")
            request.method = value;
        else if (name == ":path")
            request.path = value;
        else if (name == ":authority")
            request.authority = value;
        else if (!name.starts_with(':'))
            request.headers.push_back({ std::string(name), std::string(value) });
    }

    std::uint64_t contentLength(const HttpRequest& request)
    {
        const std::string_view text = request.header("content-length");
        std::uint64_t length = 0;
        std::from_chars(text.data(), text.data() + text.size(), length);
        return length;
    }

}

Http2ServerSession::Http2ServerSession(
    boost::asio::ip::tcp::socket socket, const Http2Limits& limits, ByteCounter bytes, std::weak_ptr<Owner> owner)
    : Http2Session(std::move(socket), Http2Engine::Role::Server, limits, std::move(bytes))
    , owner_(std::move(owner))
    , drainTimer_(this->socket().get_executor())
{
}

// Sends a shutdown notice and a ping first: an immediate final GOAWAY would refuse requests in flight. The ping
// acknowledgement shows that the client has read the notice and that all its earlier requests have arrived.
void Http2ServerSession::drain()
{
    if (std::exchange(draining_, true))
        return;
    engine().submitShutdownNotice();
    scheduleFlush();
    drainTimer_.expires_after(shutdownNoticeTimeout);
    drainTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = std::static_pointer_cast<Http2ServerSession>(weak.lock());
        if (!error && self)
            self->sendFinalGoAway();
    });
}

void Http2ServerSession::sendFinalGoAway()
{
    if (std::exchange(finalGoAwaySent_, true))
        return;
    drainTimer_.cancel();
    engine().submitGoAway();
    scheduleFlush();
}

void Http2ServerSession::onPingAcknowledged()
{
    if (draining_)
        sendFinalGoAway();
}

void Http2ServerSession::discard()
{
    owner_.reset();
    streams_.clear();
    cancelled_.clear();
    openExchanges_ = 0;
    abort("the server was destroyed");
}

void Http2ServerSession::respond(StreamId stream, HttpResponse response)
{
    Stream* open = findOpen(stream);
    if (!open)
        return;
    markCompleted(*open);
    engine().submitResponse(stream, std::move(response));
    scheduleFlush();
}

void Http2ServerSession::reset(StreamId stream, Http2Engine::ResetReason reason)
{
    Stream* open = findOpen(stream);
    if (!open)
        return;
    markCompleted(*open);
    engine().reset(stream, reason);
    scheduleFlush();
}

void Http2ServerSession::onHeadersBegun(StreamId stream)
{
    if (streams_.contains(stream))
        return; // Trailers.
    Stream& opened = streams_[stream];
    opened.request.method.clear();
    opened.request.path.clear();
}

void Http2ServerSession::onHeader(StreamId stream, std::string_view name, std::string_view value)
{
    Stream* open = findOpen(stream);
    if (!open)
        return;
    open->headerBytes += name.size() + value.size() + fieldOverhead;
    if (open->headerBytes > limits().headerBytes)
        reject(stream, *open, headerFieldsTooLarge);
    else if (!open->headersEnded)
        setField(open->request, name, value);
}

void Http2ServerSession::onHeadersEnded(StreamId stream)
{
    Stream* open = findOpen(stream);
    if (!open || std::exchange(open->headersEnded, true))
        return;
    if (contentLength(open->request) > limits().bodyBytes)
        reject(stream, *open, contentTooLarge);
}

void Http2ServerSession::onBody(StreamId stream, std::string_view bytes)
{
    Stream* open = findOpen(stream);
    if (!open)
        return;
    if (open->request.body.size() + bytes.size() > limits().bodyBytes)
        reject(stream, *open, contentTooLarge);
    else
        open->request.body.append(bytes);
}

void Http2ServerSession::onMessageEnded(StreamId stream)
{
    if (findOpen(stream))
        completeRequests_.push_back(stream);
}

void Http2ServerSession::onStreamClosed(StreamId stream, std::uint32_t)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    if (found->second.isDispatched) {
        markCompleted(found->second);
        if (auto exchange = found->second.exchange.lock())
            cancelled_.push_back(std::move(exchange));
    }
    streams_.erase(found);
}

void Http2ServerSession::onProtocolError()
{
    if (const auto owner = owner_.lock())
        owner->onProtocolError();
}

void Http2ServerSession::onEngineIdle()
{
    for (const StreamId stream : std::exchange(completeRequests_, {}))
        dispatch(stream);
    for (const auto& exchange : std::exchange(cancelled_, {}))
        exchange->cancel();
}

void Http2ServerSession::onEnded(const std::string&)
{
    drainTimer_.cancel();
    openExchanges_ = 0;
    const auto streams = std::exchange(streams_, {});
    for (const auto& [id, stream] : streams) {
        if (const auto exchange = stream.exchange.lock())
            exchange->cancel();
    }
    if (const auto owner = owner_.lock())
        owner->onSessionEnded(*this);
}

Http2ServerSession::Stream* Http2ServerSession::findOpen(StreamId stream)
{
    const auto found = streams_.find(stream);
    return found == streams_.end() || found->second.isRejected ? nullptr : &found->second;
}

void Http2ServerSession::reject(StreamId stream, Stream& open, int status)
{
    open.isRejected = true;
    open.request = {};
    onProtocolError();
    HttpResponse response;
    response.status = status;
    engine().submitResponse(stream, std::move(response));
}

void Http2ServerSession::dispatch(StreamId stream)
{
    Stream* open = findOpen(stream);
    const auto owner = owner_.lock();
    if (!open || !owner)
        return;
    const auto self = std::static_pointer_cast<Http2ServerSession>(shared_from_this());
    const auto exchange = std::make_shared<Http2ServerExchange>(self, stream, std::move(open->request));
    open->exchange = exchange;
    open->isDispatched = true;
    ++openExchanges_;
    owner->onExchange(exchange);
}

void Http2ServerSession::markCompleted(Stream& stream)
{
    if (std::exchange(stream.isDispatched, false))
        --openExchanges_;
}

}
