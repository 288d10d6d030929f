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

// The HTTP/2 framing of one connection, without its socket: bytes in, events out; messages in, bytes out.
// Sessions own one each. Wraps one nghttp2 session.
class Http2Engine {
public:
    using StreamId = Http2Events::StreamId;

    enum class Role {
        Client,
        Server,
    };

    // Why a stream is reset, as the other side sees it.
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

    // Reads bytes of the other side. Fails with InvalidArgument when the connection can't go on.
    Result<void> receive(std::span<const std::uint8_t> bytes);

    // Appends output until there is none left or `output` has grown to `maxBytes` bytes or just over.
    // Fails with ResourceExhausted when the connection can't go on.
    Result<void> produceOutput(std::vector<std::uint8_t>& output, std::size_t maxBytes);

    // False when nothing more is to be read and written: the connection is to be closed.
    bool wantsConnection() const;

    // Queues a request; false when this connection takes no new stream.
    bool submitRequest(HttpRequest, StreamId&);
    void submitResponse(StreamId, HttpResponse);
    void reset(StreamId, ResetReason);
    // Tells the other side to open no new stream, while those on their way are still served.
    void submitShutdownNotice();
    // Names the last stream that is served; later ones are refused provably.
    void submitGoAway();

    bool canOpenStream() const;
    bool isLocalSideOpen(StreamId) const;

    static bool isRefusal(std::uint32_t errorCode);
    static std::string describe(std::uint32_t errorCode);

private:
    friend struct Http2EngineCallbacks;

    struct Body {
        std::string bytes;
        std::size_t offset = 0;
    };

    Role role_;
    Http2Events& events_;
    std::unordered_map<StreamId, Body> bodies_;
    nghttp2_session* session_ = nullptr;
};

}
