#include "Net/Http2Engine.h"

#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    // Flow-control windows, large enough to transfer a body of 16 MB over a LAN at full rate.
    constexpr std::uint32_t streamWindowBytes = 1024 * 1024;
    constexpr std::int32_t connectionWindowBytes = 4 * 1024 * 1024;

    // The rate limit of stream resets, which protects against rapid-reset floods. nghttp2 closes the connection when it
    // is exceeded. The default of 33 a second is too low: a balancer resets a stream for each cancelled request and
    // each hedged request that is no longer needed.
    constexpr std::uint64_t resetBurst = 20'000;
    constexpr std::uint64_t resetsPerSecond = 5'000;

    // Bounds the frames queued for a client that does not read, such as the resets of its malformed requests.
    constexpr std::size_t maxQueuedFrames = 10'000;

    std::string_view toView(const std::uint8_t* bytes, std::size_t size)
    {
        return { reinterpret_cast<const char*>(bytes), size };
    }

    nghttp2_nv field(std::string_view name, std::string_view value)
    {
        // nghttp2 copies both strings, so const_cast is safe.
        return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE };
    }

    void appendHeaders(std::vector<nghttp2_nv>& fields, const std::vector<HttpHeader>& headers)
    {
        for (const HttpHeader& header : headers)
            fields.push_back(field(header.name, header.value));
    }

    std::vector<nghttp2_nv> fieldsOf(const HttpRequest& request)
    {
        std::vector<nghttp2_nv> fields { field(":method", request.method) };
        if (request.method != "CONNECT") {
            fields.push_back(field(":scheme", "http"));
            fields.push_back(field(":path", request.path));
        }
        if (!request.authority.empty())
            fields.push_back(field(":authority", request.authority));
        appendHeaders(fields, request.headers);
        return fields;
    }

    std::uint32_t errorCodeOf(Http2Engine::ResetReason reason)
    {
        switch (reason) {
        case Http2Engine::ResetReason::None:
            return NGHTTP2_NO_ERROR;
        case Http2Engine::ResetReason::InternalError:
            return NGHTTP2_INTERNAL_ERROR;
        case Http2Engine::ResetReason::Refused:
            return NGHTTP2_REFUSED_STREAM;
        case Http2Engine::ResetReason::Cancelled:
            return NGHTTP2_CANCEL;
        }
        return NGHTTP2_INTERNAL_ERROR;
    }

    // Whether nghttp2 sends this error code in response to malformed input.
    bool isPeerError(std::uint32_t errorCode)
    {
        switch (errorCode) {
        case NGHTTP2_PROTOCOL_ERROR:
        case NGHTTP2_FLOW_CONTROL_ERROR:
        case NGHTTP2_STREAM_CLOSED:
        case NGHTTP2_FRAME_SIZE_ERROR:
        case NGHTTP2_COMPRESSION_ERROR:
        case NGHTTP2_ENHANCE_YOUR_CALM:
            return true;
        default:
            return false;
        }
    }

    bool isRequestHeaders(const nghttp2_frame& frame)
    {
        return frame.hd.type == NGHTTP2_HEADERS && frame.headers.cat == NGHTTP2_HCAT_REQUEST;
    }

    bool endsMessage(const nghttp2_frame& frame)
    {
        return (frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA)
            && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    }

}

// The callbacks of nghttp2. The user data points to the engine.
struct Http2EngineCallbacks {
    using Session = nghttp2_session;

    static Http2Events& events(void* engine) { return static_cast<Http2Engine*>(engine)->events_; }

    static int onBeginHeaders(Session*, const nghttp2_frame* frame, void* engine)
    {
        events(engine).onHeadersBegun(frame->hd.stream_id);
        return 0;
    }

    static int onHeader(Session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameSize,
        const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* engine)
    {
        events(engine).onHeader(frame->hd.stream_id, toView(name, nameSize), toView(value, valueSize));
        return 0;
    }

    // Rejects the message. Without this callback nghttp2 drops the invalid field and accepts the rest of the message.
    static int onInvalidHeader(Session*, const nghttp2_frame*, const std::uint8_t*, std::size_t, const std::uint8_t*,
        std::size_t, std::uint8_t, void* engine)
    {
        events(engine).onProtocolError();
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }

    static int onData(
        Session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t size, void* engine)
    {
        events(engine).onBody(stream, toView(data, size));
        return 0;
    }

    static int onFrameReceived(Session*, const nghttp2_frame* frame, void* engine)
    {
        if (frame->hd.type == NGHTTP2_HEADERS)
            events(engine).onHeadersEnded(frame->hd.stream_id);
        if (endsMessage(*frame))
            events(engine).onMessageEnded(frame->hd.stream_id);
        if (frame->hd.type == NGHTTP2_GOAWAY)
            events(engine).onGoAwayReceived();
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
            events(engine).onPingAcknowledged();
        return 0;
    }

    static int beforeFrameSend(Session*, const nghttp2_frame* frame, void* engine)
    {
        if (frame->hd.type == NGHTTP2_HEADERS)
            events(engine).onHeadersSending(frame->hd.stream_id);
        return 0;
    }

    static int onFrameSent(Session* session, const nghttp2_frame* frame, void* engine)
    {
        const bool reportsPeerError = (frame->hd.type == NGHTTP2_GOAWAY && isPeerError(frame->goaway.error_code))
            || (frame->hd.type == NGHTTP2_RST_STREAM && isPeerError(frame->rst_stream.error_code));
        if (reportsPeerError)
            events(engine).onProtocolError();
        // The response was complete before the request: asks the client to stop sending it (RFC 9113, 8.1).
        const std::int32_t stream = frame->hd.stream_id;
        const bool isServer = static_cast<Http2Engine*>(engine)->role_ == Http2Engine::Role::Server;
        if (isServer && endsMessage(*frame) && nghttp2_session_get_stream_remote_close(session, stream) == 0)
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_NO_ERROR);
        return 0;
    }

    static int onFrameNotSent(Session*, const nghttp2_frame* frame, int error, void* engine)
    {
        if (!isRequestHeaders(*frame))
            return 0;
        static_cast<Http2Engine*>(engine)->bodies_.erase(frame->hd.stream_id);
        events(engine).onHeadersNotSent(frame->hd.stream_id, nghttp2_strerror(error));
        return 0;
    }

    static int onStreamClosed(Session*, std::int32_t stream, std::uint32_t errorCode, void* engine)
    {
        static_cast<Http2Engine*>(engine)->bodies_.erase(stream);
        events(engine).onStreamClosed(stream, errorCode);
        return 0;
    }

    static ssize_t readBody(Session*, std::int32_t stream, std::uint8_t* buffer, std::size_t size, std::uint32_t* flags,
        nghttp2_data_source* source, void*)
    {
        auto& bodies = static_cast<Http2Engine*>(source->ptr)->bodies_;
        const auto found = bodies.find(stream);
        if (found == bodies.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        Http2Engine::Body& body = found->second;
        const std::size_t taken = std::min(size, body.bytes->size() - body.offset);
        std::copy_n(body.bytes->data() + body.offset, taken, buffer);
        body.offset += taken;
        if (body.offset == body.bytes->size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(taken);
    }

    static nghttp2_session_callbacks* createTable()
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_invalid_header_callback(callbacks, onInvalidHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
        nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, beforeFrameSend);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, onFrameNotSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
        return callbacks;
    }

    static nghttp2_data_provider bodyProvider(Http2Engine& engine)
    {
        nghttp2_data_provider provider {};
        provider.source.ptr = &engine;
        provider.read_callback = readBody;
        return provider;
    }
};

Http2Engine::Http2Engine(Role role, const Http2Limits& limits, Http2Events& events)
    : role_(role)
    , events_(events)
{
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_stream_reset_rate_limit(option, resetBurst, resetsPerSecond);
    nghttp2_session_callbacks* callbacks = Http2EngineCallbacks::createTable();
    const auto create = role == Role::Client ? nghttp2_session_client_new2 : nghttp2_session_server_new2;
    create(&session_, callbacks, this, option);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_option_del(option);

    std::vector<nghttp2_settings_entry> settings {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.headerBytes) },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.concurrentStreams },
    };
    if (role == Role::Client)
        settings.push_back({ NGHTTP2_SETTINGS_ENABLE_PUSH, 0 });
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

Http2Engine::~Http2Engine() { nghttp2_session_del(session_); }

Result<void> Http2Engine::receive(std::span<const std::uint8_t> bytes)
{
    const ssize_t taken = nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
    // Only servers limit the queue: that of a client also holds requests that wait for a free stream.
    const bool isQueueFull
        = role_ == Role::Server && nghttp2_session_get_outbound_queue_size(session_) > maxQueuedFrames;
    if (taken >= 0 && !isQueueFull)
        return boost::outcome_v2::success();
    events_.onProtocolError();
    return Error { ErrorCode::InvalidArgument,
        isQueueFull ? "the client does not read its responses" : nghttp2_strerror(static_cast<int>(taken)) };
}

Result<void> Http2Engine::produceOutput(std::vector<std::uint8_t>& output, std::size_t maxBytes)
{
    while (output.size() < maxBytes) {
        const std::uint8_t* bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
        if (size < 0)
            return Error { ErrorCode::ResourceExhausted, nghttp2_strerror(static_cast<int>(size)) };
        if (size == 0)
            break;
        output.insert(output.end(), bytes, bytes + size);
    }
    return boost::outcome_v2::success();
}

bool Http2Engine::wantsConnection() const
{
    return nghttp2_session_want_read(session_) != 0 || nghttp2_session_want_write(session_) != 0;
}

bool Http2Engine::submitRequest(HttpRequest request, StreamId& stream)
{
    const std::vector<nghttp2_nv> fields = fieldsOf(request);
    const nghttp2_data_provider provider = Http2EngineCallbacks::bodyProvider(*this);
    const bool hasBody = !request.body.empty();
    stream = nghttp2_submit_request(
        session_, nullptr, fields.data(), fields.size(), hasBody ? &provider : nullptr, nullptr);
    if (stream < 0)
        return false;
    if (hasBody)
        bodies_[stream].bytes = std::make_shared<const std::string>(std::move(request.body));
    return true;
}

void Http2Engine::submitResponse(StreamId stream, HttpResponse response)
{
    const std::string status = fmt::format("{}", response.status);
    std::vector<nghttp2_nv> fields { field(":status", status) };
    appendHeaders(fields, response.headers);
    const nghttp2_data_provider provider = Http2EngineCallbacks::bodyProvider(*this);
    const bool hasBody = !response.content().empty();
    if (nghttp2_submit_response(session_, stream, fields.data(), fields.size(), hasBody ? &provider : nullptr) != 0)
        return;
    if (!hasBody)
        return;
    bodies_[stream].bytes = response.sharedBody ? std::move(response.sharedBody)
                                                : std::make_shared<const std::string>(std::move(response.body));
}

void Http2Engine::reset(StreamId stream, ResetReason reason)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, errorCodeOf(reason));
}

void Http2Engine::submitShutdownNotice()
{
    nghttp2_submit_shutdown_notice(session_);
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Engine::submitGoAway()
{
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(session_);
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
}

bool Http2Engine::canOpenStream() const { return nghttp2_session_check_request_allowed(session_) != 0; }

bool Http2Engine::isLocalSideOpen(StreamId stream) const
{
    return nghttp2_session_get_stream_local_close(session_, stream) == 0;
}

bool Http2Engine::isRefusal(std::uint32_t errorCode) { return errorCode == NGHTTP2_REFUSED_STREAM; }

std::string Http2Engine::describe(std::uint32_t errorCode) { return nghttp2_http2_strerror(errorCode); }

}
