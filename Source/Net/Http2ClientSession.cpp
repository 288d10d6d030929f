#include "Net/Http2ClientSession.h"

#include "Net/AsioEndpoint.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace wisteriadock {

namespace {

    // Bytes that HTTP/2 adds per field to the size of a header list (RFC 9113, 6.5.2).
    constexpr std::size_t fieldOverhead = 32;

    int statusOf(std::string_view text)
    {
        int status = 0;
        std::from_chars(text.data(), text.data() + text.size(), status);
        return status;
    }

    // The failure of a request whose stream closed before the response was complete.
    HttpFailureKind failureKindOf(const Http2ClientRequest& request)
    {
        if (!request.hasStartedSending)
            return HttpFailureKind::NotSent;
        return request.responseStarted ? HttpFailureKind::Incomplete : HttpFailureKind::Lost;
    }

}

Http2ClientSession::Http2ClientSession(
    boost::asio::io_context& context, const Http2Limits& limits, ByteCounter bytes, std::weak_ptr<Owner> owner)
    : Http2Session(boost::asio::ip::tcp::socket(context), Http2Engine::Role::Client, limits, std::move(bytes))
    , owner_(std::move(owner))
    , connectTimer_(context)
{
}

void Http2ClientSession::connect(const Endpoint& server)
{
    server_ = server;
    const auto self = std::static_pointer_cast<Http2ClientSession>(shared_from_this());
    connectTimer_.expires_after(limits().connectTimeout);
    connectTimer_.async_wait([self](const boost::system::error_code& error) {
        if (!error)
            self->abort(fmt::format("{} did not accept a connection in time", self->server_.toString()));
    });
    socket().async_connect(toTcp(server), [self](const boost::system::error_code& error) { self->onConnected(error); });
}

void Http2ClientSession::onConnected(const boost::system::error_code& error)
{
    connectTimer_.cancel();
    if (!canWrite())
        return;
    if (error)
        abort(fmt::format("no connection to {}: {}", server_.toString(), error.message()));
    else
        begin();
}

bool Http2ClientSession::canSubmit() const { return canWrite() && !goingAway_ && engine().canOpenStream(); }

bool Http2ClientSession::submit(const RequestPointer& request, HttpRequest message)
{
    if (!engine().submitRequest(std::move(message), request->stream)) {
        goingAway_ = true;
        return false;
    }
    request->session = std::static_pointer_cast<Http2ClientSession>(shared_from_this());
    streams_.emplace(request->stream, request);
    scheduleFlush();
    return true;
}

void Http2ClientSession::abortRequest(const RequestPointer& request, HttpFailureKind kind, const std::string& detail)
{
    const StreamId stream = request->stream;
    fail(stream, request->hasStartedSending ? kind : HttpFailureKind::NotSent, detail);
    engine().reset(stream, Http2Engine::ResetReason::Cancelled);
    scheduleFlush();
}

void Http2ClientSession::onHeadersBegun(StreamId stream)
{
    if (Http2ClientRequest* request = find(stream))
        request->responseStarted = true;
}

void Http2ClientSession::onHeader(StreamId stream, std::string_view name, std::string_view value)
{
    Http2ClientRequest* request = find(stream);
    if (!request)
        return;
    request->headerBytes += name.size() + value.size() + fieldOverhead;
    if (request->headerBytes > limits().headerBytes)
        failIncomplete(stream, fmt::format("the response headers exceed {} bytes", limits().headerBytes));
    else if (name == ":status")
        request->response.status = statusOf(value);
    else if (!request->hasFinalStatus)
        request->response.headers.push_back({ std::string(name), std::string(value) });
}

void Http2ClientSession::onHeadersEnded(StreamId stream)
{
    Http2ClientRequest* request = find(stream);
    if (!request || request->hasFinalStatus)
        return;
    request->hasFinalStatus = request->response.status >= 200;
    if (!request->hasFinalStatus)
        request->response = {};
}

void Http2ClientSession::onBody(StreamId stream, std::string_view bytes)
{
    Http2ClientRequest* request = find(stream);
    if (!request)
        return;
    std::string& body = request->response.body;
    if (body.size() + bytes.size() > limits().bodyBytes)
        failIncomplete(stream, fmt::format("the response body exceeds {} bytes", limits().bodyBytes));
    else
        body.append(bytes);
}

void Http2ClientSession::onMessageEnded(StreamId stream)
{
    const RequestPointer request = take(stream);
    if (!request)
        return;
    if (engine().isLocalSideOpen(stream))
        engine().reset(stream, Http2Engine::ResetReason::Cancelled);
    if (const auto owner = owner_.lock())
        owner->onRequestEnded(request, std::move(request->response));
}

void Http2ClientSession::onHeadersSending(StreamId stream)
{
    if (Http2ClientRequest* request = find(stream))
        request->hasStartedSending = true;
}

void Http2ClientSession::onHeadersNotSent(StreamId stream, std::string_view reason)
{
    fail(stream, HttpFailureKind::NotSent, std::string(reason));
}

void Http2ClientSession::onStreamClosed(StreamId stream, std::uint32_t errorCode)
{
    const Http2ClientRequest* request = find(stream);
    if (!request)
        return;
    // nghttp2 reports REFUSED_STREAM if the server reset the stream with it, or if the server sent a GOAWAY with a
    // lower last stream ID.
    const bool isRefused = Http2Engine::isRefusal(errorCode) && request->hasStartedSending && !request->responseStarted;
    fail(stream, isRefused ? HttpFailureKind::Refused : failureKindOf(*request),
        fmt::format("the stream was closed with {}", Http2Engine::describe(errorCode)));
}

void Http2ClientSession::onGoAwayReceived() { goingAway_ = true; }

void Http2ClientSession::onEnded(const std::string& reason)
{
    connectTimer_.cancel();
    const auto owner = owner_.lock();
    for (const auto& [stream, request] : std::exchange(streams_, {})) {
        if (owner)
            owner->onRequestEnded(request, HttpFailure { failureKindOf(*request), reason });
    }
    if (owner)
        owner->onSessionEnded(*this);
}

Http2ClientRequest* Http2ClientSession::find(StreamId stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second.get();
}

Http2ClientSession::RequestPointer Http2ClientSession::take(StreamId stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return nullptr;
    RequestPointer request = std::move(found->second);
    streams_.erase(found);
    return request;
}

void Http2ClientSession::fail(StreamId stream, HttpFailureKind kind, const std::string& detail)
{
    const RequestPointer request = take(stream);
    const auto owner = owner_.lock();
    if (request && owner)
        owner->onRequestEnded(request, HttpFailure { kind, detail });
}

void Http2ClientSession::failIncomplete(StreamId stream, const std::string& detail)
{
    fail(stream, HttpFailureKind::Incomplete, detail);
    engine().reset(stream, Http2Engine::ResetReason::Cancelled);
}

}
