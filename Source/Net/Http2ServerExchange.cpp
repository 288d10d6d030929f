#include "Net/Http2ServerExchange.h"

#include "Net/Http2ServerSession.h"

#include <utility>

namespace wisteriadock {

namespace {

    // Whether HTTP forbids a body in this response.
    bool mustOmitBody(const HttpRequest& request, const HttpResponse& response)
    {
        return request.method == "HEAD" || response.status == 204 || response.status == 304;
    }

}

Http2ServerExchange::Http2ServerExchange(
    std::weak_ptr<Http2ServerSession> session, Http2Events::StreamId stream, HttpRequest request)
    : session_(std::move(session))
    , stream_(stream)
    , request_(std::move(request))
{
}

Http2ServerExchange::~Http2ServerExchange()
{
    if (const auto session = finish())
        session->reset(stream_, Http2Engine::ResetReason::InternalError);
}

void Http2ServerExchange::respond(HttpResponse response)
{
    const auto session = finish();
    if (!session)
        return;
    if (mustOmitBody(request_, response)) {
        response.body.clear();
        response.sharedBody.reset();
    }
    session->respond(stream_, std::move(response));
}

void Http2ServerExchange::refuse()
{
    if (const auto session = finish())
        session->reset(stream_, Http2Engine::ResetReason::Refused);
}

void Http2ServerExchange::onCancelled(std::function<void()> callback)
{
    if (!ended_)
        onCancelled_ = std::move(callback);
}

void Http2ServerExchange::cancel()
{
    if (std::exchange(ended_, true))
        return;
    if (const auto callback = std::exchange(onCancelled_, nullptr))
        callback();
}

std::shared_ptr<Http2ServerSession> Http2ServerExchange::finish()
{
    if (std::exchange(ended_, true))
        return nullptr;
    onCancelled_ = nullptr;
    return session_.lock();
}

}
