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

// The server's side of one connection: gathers requests, hands whole ones on and sends the answers.
class Http2ServerSession final : public Http2Session {
public:
    // The server that the session works for.
    class Owner {
    public:
        virtual ~Owner() = default;
        virtual void onExchange(std::shared_ptr<Http2Exchange>) = 0;
        virtual void onProtocolError() = 0;
        virtual void onSessionEnded(const Http2ServerSession&) = 0;
    };

    Http2ServerSession(boost::asio::ip::tcp::socket, const Http2Limits&, ByteCounter, std::weak_ptr<Owner>);

    void start() { begin(); }
    // Lets the open streams and those on their way finish, then closes the connection.
    void drain();
    // Closes the connection without telling anybody.
    void discard();

    // Called by exchanges; streams that have closed meanwhile are ignored.
    void respond(StreamId, HttpResponse);
    void reset(StreamId, Http2Engine::ResetReason);

    std::size_t openExchanges() const { return openExchanges_; }

private:
    struct Stream {
        HttpRequest request;
        std::size_t headerBytes = 0;
        bool headersEnded = false;
        bool isRejected = false; // Answered by the session itself; what still arrives is dropped.
        bool isDispatched = false; // The handler has its exchange and has not answered yet.
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
    // What the engine told, to be acted on once it is idle.
    std::vector<StreamId> completeRequests_;
    std::vector<std::shared_ptr<Http2ServerExchange>> cancelled_;
    std::size_t openExchanges_ = 0;
    bool draining_ = false;
    bool finalGoAwaySent_ = false;
};

}
