#include "Balancer/RequestFront.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr int blindAttempts = 3;

}

Result<std::unique_ptr<RequestFront>> RequestFront::listen(boost::asio::io_context& context, Endpoint endpoint,
    Http2Limits limits, RequestDecisions& decisions, OwnPages ownPages)
{
    std::unique_ptr<RequestFront> front(new RequestFront(context, limits, decisions, std::move(ownPages)));
    const auto handler
        = [target = front.get()](const std::shared_ptr<Http2Exchange>& exchange) { target->handle(exchange); };
    BOOST_OUTCOME_TRY(server, Http2Server::listen(context, endpoint, handler, limits));
    front->server_ = std::move(server);
    return front;
}

RequestFront::RequestFront(
    boost::asio::io_context& context, Http2Limits limits, RequestDecisions& decisions, OwnPages ownPages)
    : context_(context)
    , limits_(limits)
    , decisions_(decisions)
    , ownPages_(std::move(ownPages))
{
}

RequestFront::~RequestFront() = default;

void RequestFront::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    const auto isListed = [&](Endpoint address) {
        return std::ranges::any_of(configuration->backendServers,
            [&](const BackendServer& server) { return server.requestAddress == address; });
    };
    // Connections to servers that left are closed once their last request is answered.
    std::erase_if(
        clients_, [&](const auto& entry) { return !isListed(entry.first) && entry.second->openRequests() == 0; });
    decisions_.applyConfiguration(std::move(configuration));
}

void RequestFront::drain(std::function<void()> onDrained) { server_->drain(std::move(onDrained)); }

Endpoint RequestFront::address() const { return server_->address(); }

std::size_t RequestFront::openRequests() const { return server_->openExchanges(); }

std::uint64_t RequestFront::protocolErrors() const { return server_->protocolErrors(); }

void RequestFront::handle(const std::shared_ptr<Http2Exchange>& exchange)
{
    if (control_ && control_->takeFromBalancer(exchange))
        return;
    if (!decisions_.serviceOf(exchange->request()) && ownPages_(exchange))
        return;
    if (control_) {
        control_->take(exchange);
        return;
    }
    const RequestDecision decision = decisions_.admit(exchange->request(), Clock::now());
    if (const auto* forwarded = std::get_if<ForwardRequest>(&decision))
        forward(exchange, *forwarded, 1);
    else
        refuse(*exchange, std::get<RequestProblem>(decision));
}

void RequestFront::forward(const std::shared_ptr<Http2Exchange>& exchange, const ForwardRequest& decision, int attempts)
{
    const auto onOutcome = [this, exchange, decision, attempts](
                               HttpOutcome outcome) { finish(exchange, decision, attempts, std::move(outcome)); };
    const auto id = clientOf(decision.address).send(exchange->request(), decision.deadline, onOutcome);
    exchange->onCancelled([this, address = decision.address, id] { cancel(address, id); });
}

void RequestFront::finish(
    const std::shared_ptr<Http2Exchange>& exchange, const ForwardRequest& sent, int attempts, HttpOutcome outcome)
{
    if (outcome) {
        decisions_.finished(sent.server);
        count(RequestOutcomeKind::Answered);
        exchange->respond(std::move(outcome.value()));
        return;
    }
    const TimePoint now = Clock::now();
    const RequestProblem problem = decisions_.failed(sent.server, outcome.error(), now);
    const bool isWanted = outcome.error().kind != HttpFailureKind::Cancelled && now < sent.deadline;
    if (retriesBlindly_ && isWanted && attempts < blindAttempts) {
        const RequestDecision decision = decisions_.admit(exchange->request(), now);
        if (const auto* again = std::get_if<ForwardRequest>(&decision)) {
            forward(exchange, { again->server, again->address, sent.deadline }, attempts + 1);
            return;
        }
    }
    refuse(*exchange, problem);
}

void RequestFront::refuse(Http2Exchange& exchange, const RequestProblem& problem)
{
    count(problem.outcome);
    exchange.respond(problem.toResponse());
}

// The client may be gone already: it is dropped together with its last request.
void RequestFront::cancel(Endpoint server, Http2Client::RequestId id)
{
    const auto found = clients_.find(server);
    if (found != clients_.end())
        found->second->cancel(id);
}

Http2Client& RequestFront::clientOf(Endpoint server)
{
    auto& client = clients_[server];
    if (!client)
        client = std::make_unique<Http2Client>(context_, server, limits_);
    return *client;
}

}
