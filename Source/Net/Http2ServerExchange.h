#pragma once

#include "Net/Http2Events.h"
#include "Net/Http2Server.h"

#include <functional>
#include <memory>

namespace wisteriadock {

class Http2ServerSession;

// An exchange of one stream of a session. The handler owns it; the session only points to it weakly, so that the
// handler's letting go shows.
class Http2ServerExchange final : public Http2Exchange {
public:
    Http2ServerExchange(std::weak_ptr<Http2ServerSession>, Http2Events::StreamId, HttpRequest);
    ~Http2ServerExchange() override;
    Http2ServerExchange(const Http2ServerExchange&) = delete;
    Http2ServerExchange& operator=(const Http2ServerExchange&) = delete;

    const HttpRequest& request() const override { return request_; }
    void respond(HttpResponse) override;
    void refuse() override;
    void onCancelled(std::function<void()>) override;

    // The session's word that the stream has ended without an answer.
    void cancel();

private:
    // The session, the first time that this exchange ends; null afterwards.
    std::shared_ptr<Http2ServerSession> finish();

    std::weak_ptr<Http2ServerSession> session_;
    Http2Events::StreamId stream_;
    HttpRequest request_;
    std::function<void()> onCancelled_;
    bool ended_ = false;
};

}
