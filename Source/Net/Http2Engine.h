#pragma once

#include "Net/Http2Events.h"
#include "Net/Http2Limits.h"
#include "Net/HttpMessage.h"

#include "Core/Error.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

struct nghttp2_session;

namespace wisteriadock {

// The HTTP/2 framing layer of one connection, independent of its socket: turns received bytes into events, and messages
// into bytes to send. Wraps an nghttp2 session. Each Http2Session owns one.
class Http2Engine {
public:
    using StreamId = Http2Events::StreamId;

    enum class Role {
        Client,
        Server,
    };

    // The error code sent in RST_STREAM.
    enum class ResetReason {
        None,
        InternalError,
        Refused,
        Cancelled,
    };

    Http2Engine(Role, const Http2Limits&, Http2Events&);
    ~Http2Engine();
    Http2Engine(const Http2Engine&) = delete;
    Http2Engine& operator=(const Http2Engine&) = delete;

    // Processes received bytes. Fails with ErrorCode::InvalidArgument if the connection must be closed.
    Result<void> receive(std::span<const std::uint8_t> bytes);

    // Appends the pending frames to `output`, until none is left or `output` holds at least `maxBytes` bytes. The last
    // frame may exceed the limit. Fails with ErrorCode::ResourceExhausted if the connection must be closed.
    Result<void> produceOutput(std::vector<std::uint8_t>& output, std::size_t maxBytes);

    // Returns false if nothing is left to read or write, so that the connection is to be closed.
    bool wantsConnection() const;

    // Queues a request and sets the ID of its stream. Returns false if this connection accepts no new stream.
    bool submitRequest(HttpRequest, StreamId&);
    void submitResponse(StreamId, HttpResponse);
    void reset(StreamId, ResetReason);
    // Asks the client to open no new stream; requests in flight are still accepted. A ping follows the notice.
    void submitShutdownNotice();
    // Sends the final GOAWAY with the ID of the last processed stream; streams with higher IDs are refused.
    void submitGoAway();

    bool canOpenStream() const;
    bool isLocalSideOpen(StreamId) const;

    static bool isRefusal(std::uint32_t errorCode);
    static std::string describe(std::uint32_t errorCode);

private:
    friend struct Http2EngineCallbacks;

    struct Body {
        std::shared_ptr<const std::string> bytes;
        std::size_t offset = 0;
    };

    Role role_;
    Http2Events& events_;
    std::unordered_map<StreamId, Body> bodies_;
    nghttp2_session* session_ = nullptr;
};

}
