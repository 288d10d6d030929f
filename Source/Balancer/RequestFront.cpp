#include "Balancer/RequestFront.h"

#include <algorithm>

namespace wisteriadock {

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
    if (!decisions_.serviceOf(exchange->request()) && ownPages_(exchange))
        return;
    const RequestDecision decision = decisions_.admit(exchange->request(), Clock::now());
    if (const auto* forwarded = std::get_if<ForwardRequest>(&decision))
        forward(exchange, *forwarded);
    else
        refuse(*exchange, std::get<RequestProblem>(decision));
}

void RequestFront::forward(const std::shared_ptr<Http2Exchange>& exchange, const ForwardRequest& decision)
{
    const auto onOutcome = [this, exchange, server = decision.server](
                               HttpOutcome outcome) { finish(*exchange, server, std::move(outcome)); };
    const auto id = clientOf(decision.address).send(exchange->request(), decision.deadline, onOutcome);
    exchange->onCancelled([this, address = decision.address, id] { cancel(address, id); });
}

void RequestFront::finish(Http2Exchange& exchange, BackendServerId server, HttpOutcome outcome)
{
    if (!outcome) {
        refuse(exchange, decisions_.failed(server, outcome.error(), Clock::now()));
        return;
    }
    decisions_.finished(server);
    count(RequestEnding::Answered);
    exchange.respond(std::move(outcome.value()));
}

void RequestFront::refuse(Http2Exchange& exchange, const RequestProblem& problem)
{
    count(problem.ending);
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
