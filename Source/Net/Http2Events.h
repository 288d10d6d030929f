#pragma once

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// What an Http2Engine tells its session while it reads input or makes output. An implementation may submit frames to
// the engine from here, but must not read, write or destroy it.
class Http2Events {
public:
    using StreamId = std::int32_t;

    virtual ~Http2Events() = default;

    // One header block: of a message, of an informational answer, or of trailers.
    virtual void onHeadersBegun(StreamId) = 0;
    virtual void onHeader(StreamId, std::string_view name, std::string_view value) = 0;
    virtual void onHeadersEnded(StreamId) = 0;
    virtual void onBody(StreamId, std::string_view bytes) = 0;
    // The message is whole, and as long as its content-length says.
    virtual void onMessageEnded(StreamId) = 0;

    // The first byte of the stream's HEADERS frame is about to be handed to the socket.
    virtual void onHeadersSending(StreamId) = 0;
    // The stream's HEADERS frame will never leave this process.
    virtual void onHeadersNotSent(StreamId, std::string_view reason) = 0;
    virtual void onStreamClosed(StreamId, std::uint32_t errorCode) = 0;
    virtual void onGoAwayReceived() = 0;
    virtual void onPingAcknowledged() = 0;

    // The other side broke the protocol: a frame, header or message was malformed.
    virtual void onProtocolError() = 0;
};

}
