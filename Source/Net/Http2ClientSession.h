#pragma once

#include "Net/Http2ClientRequest.h"
#include "Net/Http2Session.h"

#include "Core/Endpoint.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriadock {

// The client side of one HTTP/2 connection: connects, sends requests as streams and determines the outcome of each.
// Created by Http2Client.
class Http2ClientSession final : public Http2Session {
public:
    using RequestPointer = std::shared_ptr<Http2ClientRequest>;

    // The client that owns the session. Neither function is called from within connect() or submit().
    class Owner {
    public:
        virtual ~Owner() = default;
        virtual void onRequestEnded(const RequestPointer&, HttpOutcome) = 0;
        virtual void onSessionEnded(const Http2ClientSession&) = 0;
    };

    Http2ClientSession(boost::asio::io_context&, const Http2Limits&, ByteCounter, std::weak_ptr<Owner>);

    void connect(const Endpoint& server);

    // Returns false if new requests need another connection.
    bool canSubmit() const;
    // Queues the request. Returns false if this connection accepts no new stream.
    bool submit(const RequestPointer&, HttpRequest);

    // Resets the stream of a request and ends the request with the given failure, or with NotSent if no byte was sent.
    void abortRequest(const RequestPointer&, HttpFailureKind, const std::string& detail);

private:
    void onHeadersBegun(StreamId) override;
    void onHeader(StreamId, std::string_view name, std::string_view value) override;
    void onHeadersEnded(StreamId) override;
    void onBody(StreamId, std::string_view bytes) override;
    void onMessageEnded(StreamId) override;
    void onHeadersSending(StreamId) override;
    void onHeadersNotSent(StreamId, std::string_view reason) override;
    void onStreamClosed(StreamId, std::uint32_t errorCode) override;
    void onGoAwayReceived() override;
    void onPingAcknowledged() override { }
    void onProtocolError() override { }
    void onEnded(const std::string& reason) override;

    void onConnected(const boost::system::error_code&);
    Http2ClientRequest* find(StreamId) const;
    RequestPointer take(StreamId);
    void fail(StreamId, HttpFailureKind, const std::string& detail);
    void failIncomplete(StreamId, const std::string& detail);

    std::weak_ptr<Owner> owner_;
    Endpoint server_;
    boost::asio::steady_timer connectTimer_;
    std::unordered_map<StreamId, RequestPointer> streams_;
    bool goingAway_ = false;
};

}
