#pragma once

#include "Net/Http2Events.h"
#include "Net/Http2Server.h"

#include <functional>
#include <memory>

namespace wisteriadock {

class Http2ServerSession;

// The exchange of one stream. Only the handler owns it: the session holds a weak pointer, so that the destructor runs
// when the handler drops it.
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

    // Called by the session when the stream has closed without a response; runs the callback of onCancelled().
    void cancel();

private:
    // Ends the exchange. Returns its session on the first call and null afterwards.
    std::shared_ptr<Http2ServerSession> finish();

    std::weak_ptr<Http2ServerSession> session_;
    Http2Events::StreamId stream_;
    HttpRequest request_;
    std::function<void()> onCancelled_;
    bool ended_ = false;
};

}
