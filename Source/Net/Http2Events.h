#pragma once

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// The events that an Http2Engine reports to its Http2Session while it processes input or produces output. An
// implementation may submit frames to the engine, but must not call its receive() or produceOutput() or destroy it.
class Http2Events {
public:
    using StreamId = std::int32_t;

    virtual ~Http2Events() = default;

    // A header block: the headers of a message, an informational response or trailers.
    virtual void onHeadersBegun(StreamId) = 0;
    virtual void onHeader(StreamId, std::string_view name, std::string_view value) = 0;
    virtual void onHeadersEnded(StreamId) = 0;
    virtual void onBody(StreamId, std::string_view bytes) = 0;
    // The message is complete and its length matches its content-length.
    virtual void onMessageEnded(StreamId) = 0;

    // The HEADERS frame of the stream is about to be written to the socket.
    virtual void onHeadersSending(StreamId) = 0;
    // The HEADERS frame of the stream will never be sent.
    virtual void onHeadersNotSent(StreamId, std::string_view reason) = 0;
    virtual void onStreamClosed(StreamId, std::uint32_t errorCode) = 0;
    virtual void onGoAwayReceived() = 0;
    virtual void onPingAcknowledged() = 0;

    // The peer violated the protocol: a frame, header or message was malformed.
    virtual void onProtocolError() = 0;
};

}
