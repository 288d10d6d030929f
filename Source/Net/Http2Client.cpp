#include "Net/Http2Client.h"

#include "Core/NameTable.h"
#include "Net/Http2ClientSession.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    constexpr auto failureKindNames = makeNameTable<HttpFailureKind>({
        { HttpFailureKind::NotSent, "not_sent" },
        { HttpFailureKind::Refused, "refused" },
        { HttpFailureKind::Lost, "lost" },
        { HttpFailureKind::DeadlineExceeded, "deadline_exceeded" },
        { HttpFailureKind::Cancelled, "cancelled" },
        { HttpFailureKind::Incomplete, "incomplete" },
    });

}

std::string_view nameOf(HttpFailureKind kind) { return failureKindNames.name(kind); }

// Owns the open requests and the sessions. Callbacks run from a separate queue, so that no function of a session or
// engine is active when a callback destroys the client.
class Http2Client::Implementation final : public Http2ClientSession::Owner,
                                          public std::enable_shared_from_this<Implementation> {
public:
    using RequestPointer = Http2ClientSession::RequestPointer;

    Implementation(boost::asio::io_context& context, Endpoint server, const Http2Limits& limits)
        : context_(context)
        , server_(server)
        , limits_(limits)
    {
    }

    RequestId send(HttpRequest, TimePoint deadline, Callback);
    void cancel(RequestId);
    void stop();

    std::size_t openRequests() const { return open_.size(); }
    std::uint64_t bytesTransferred() const { return *bytes_; }

private:
    struct CompletedRequest {
        Callback callback;
        HttpOutcome outcome;
    };

    void onRequestEnded(const RequestPointer&, HttpOutcome) override;
    void onSessionEnded(const Http2ClientSession&) override;
    void submit(const RequestPointer&, HttpRequest);
    void openSession();
    void abortRequest(const RequestPointer&, HttpFailureKind, const std::string& detail);
    void scheduleCallbacks();
    void runCallbacks();

    boost::asio::io_context& context_;
    Endpoint server_;
    Http2Limits limits_;
    RequestId lastId_ = 0;
    std::shared_ptr<std::uint64_t> bytes_ = std::make_shared<std::uint64_t>(0);
    std::unordered_map<RequestId, RequestPointer> open_;
    std::deque<CompletedRequest> completed_;
    // The last session accepts new requests; the others only complete their open requests.
    std::vector<std::shared_ptr<Http2ClientSession>> sessions_;
    bool callbacksScheduled_ = false;
    bool stopped_ = false;
};

Http2Client::RequestId Http2Client::Implementation::send(HttpRequest message, TimePoint deadline, Callback callback)
{
    const auto request = std::make_shared<Http2ClientRequest>(context_);
    request->id = ++lastId_;
    request->callback = std::move(callback);
    open_.emplace(request->id, request);
    request->deadline.expires_at(deadline);
    request->deadline.async_wait(
        [self = weak_from_this(), weak = std::weak_ptr(request)](const boost::system::error_code& error) {
            const auto client = self.lock();
            const auto expired = weak.lock();
            if (!error && client && expired)
                client->abortRequest(expired, HttpFailureKind::DeadlineExceeded, "the deadline passed");
        });
    submit(request, std::move(message));
    return request->id;
}

void Http2Client::Implementation::submit(const RequestPointer& request, HttpRequest message)
{
    if (stopped_ || request->deadline.expiry() <= Clock::now()) {
        const char* reason = stopped_ ? "the client is being destroyed" : "the deadline had passed already";
        onRequestEnded(request, HttpFailure { HttpFailureKind::NotSent, reason });
        return;
    }
    // HTTP/2 servers reject requests without an authority (RFC 9113, 8.3.1).
    if (message.authority.empty() && message.header("host").empty())
        message.authority = server_.toString();
    if (sessions_.empty() || !sessions_.back()->canSubmit())
        openSession();
    if (!sessions_.back()->submit(request, std::move(message)))
        onRequestEnded(request, HttpFailure { HttpFailureKind::NotSent, "the connection accepts no new stream" });
}

void Http2Client::Implementation::openSession()
{
    sessions_.push_back(std::make_shared<Http2ClientSession>(context_, limits_, bytes_, weak_from_this()));
    sessions_.back()->connect(server_);
}

void Http2Client::Implementation::cancel(RequestId id)
{
    const auto found = open_.find(id);
    if (found != open_.end())
        abortRequest(RequestPointer(found->second), HttpFailureKind::Cancelled, "the request was cancelled");
}

void Http2Client::Implementation::abortRequest(
    const RequestPointer& request, HttpFailureKind kind, const std::string& detail)
{
    // The deadline timer may expire just after the request has ended.
    if (!open_.contains(request->id))
        return;
    if (const auto session = request->session.lock())
        session->abortRequest(request, kind, detail);
}

void Http2Client::Implementation::stop()
{
    stopped_ = true;
    const auto requests = open_;
    for (const auto& [id, request] : requests)
        abortRequest(request, HttpFailureKind::Cancelled, "the client was destroyed");
    for (const auto& session : std::vector(sessions_))
        session->abort("the client was destroyed");
    runCallbacks();
}

void Http2Client::Implementation::onRequestEnded(const RequestPointer& request, HttpOutcome outcome)
{
    if (open_.erase(request->id) == 0)
        return;
    request->deadline.cancel();
    completed_.push_back({ std::move(request->callback), std::move(outcome) });
    scheduleCallbacks();
}

void Http2Client::Implementation::onSessionEnded(const Http2ClientSession& session)
{
    std::erase_if(sessions_, [&](const auto& candidate) { return candidate.get() == &session; });
}

void Http2Client::Implementation::scheduleCallbacks()
{
    if (std::exchange(callbacksScheduled_, true))
        return;
    boost::asio::post(context_, [self = shared_from_this()] { self->runCallbacks(); });
}

// Removes each entry before running its callback: if a callback destroys the client, the destructor runs the rest.
void Http2Client::Implementation::runCallbacks()
{
    callbacksScheduled_ = false;
    // Requests that end during these callbacks wait for the next run, so that a caller that retries immediately does
    // not block the thread.
    for (std::size_t left = completed_.size(); left > 0 && !completed_.empty(); --left) {
        CompletedRequest completed = std::move(completed_.front());
        completed_.pop_front();
        completed.callback(std::move(completed.outcome));
    }
    if (!completed_.empty())
        scheduleCallbacks();
}

Http2Client::Http2Client(boost::asio::io_context& context, Endpoint server, Http2Limits limits)
    : implementation_(std::make_shared<Implementation>(context, server, limits))
{
}

Http2Client::~Http2Client() { implementation_->stop(); }

Http2Client::RequestId Http2Client::send(HttpRequest request, TimePoint deadline, Callback callback)
{
    return implementation_->send(std::move(request), deadline, std::move(callback));
}

void Http2Client::cancel(RequestId id) { implementation_->cancel(id); }

std::size_t Http2Client::openRequests() const { return implementation_->openRequests(); }

std::uint64_t Http2Client::bytesTransferred() const { return implementation_->bytesTransferred(); }

}
