#pragma once

#include "Net/Http2ServerExchange.h"
#include "Net/Http2Session.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriadock {

// The server side of one HTTP/2 connection: assembles requests, passes complete ones to its owner and sends the
// responses. Created by Http2Listener.
class Http2ServerSession final : public Http2Session {
public:
    // The Http2Listener that owns the session.
    class Owner {
    public:
        virtual ~Owner() = default;
        virtual void onExchange(std::shared_ptr<Http2Exchange>) = 0;
        virtual void onProtocolError() = 0;
        virtual void onSessionEnded(const Http2ServerSession&) = 0;
    };

    Http2ServerSession(boost::asio::ip::tcp::socket, const Http2Limits&, ByteCounter, std::weak_ptr<Owner>);

    void start() { begin(); }
    // Completes the open streams and the requests in flight, then closes the connection.
    void drain();
    // Closes the connection without notifying the owner or the exchanges.
    void discard();

    // Called by Http2ServerExchange; closed streams are ignored.
    void respond(StreamId, HttpResponse);
    void reset(StreamId, Http2Engine::ResetReason);

    std::size_t openExchanges() const { return openExchanges_; }

private:
    struct Stream {
        HttpRequest request;
        std::size_t headerBytes = 0;
        bool headersEnded = false;
        bool isRejected = false; // The session has sent an error response; further input is dropped.
        bool isDispatched = false; // The handler has the exchange and has not responded yet.
        std::weak_ptr<Http2ServerExchange> exchange;
    };

    void onHeadersBegun(StreamId) override;
    void onHeader(StreamId, std::string_view name, std::string_view value) override;
    void onHeadersEnded(StreamId) override;
    void onBody(StreamId, std::string_view bytes) override;
    void onMessageEnded(StreamId) override;
    void onHeadersSending(StreamId) override { }
    void onHeadersNotSent(StreamId, std::string_view) override { }
    void onStreamClosed(StreamId, std::uint32_t errorCode) override;
    void onGoAwayReceived() override { }
    void onPingAcknowledged() override;
    void onProtocolError() override;
    void onEngineIdle() override;
    void onEnded(const std::string& reason) override;

    Stream* findOpen(StreamId);
    void reject(StreamId, Stream&, int status);
    void dispatch(StreamId);
    void markCompleted(Stream&);
    void sendFinalGoAway();

    std::weak_ptr<Owner> owner_;
    boost::asio::steady_timer drainTimer_;
    std::unordered_map<StreamId, Stream> streams_;
    // Recorded during events of the engine and processed in onEngineIdle().
    std::vector<StreamId> completeRequests_;
    std::vector<std::shared_ptr<Http2ServerExchange>> cancelled_;
    std::size_t openExchanges_ = 0;
    bool draining_ = false;
    bool finalGoAwaySent_ = false;
};

}
