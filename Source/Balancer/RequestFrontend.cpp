#include "Balancer/RequestFrontend.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr int maxBlindAttempts = 3;

}

Result<std::unique_ptr<RequestFrontend>> RequestFrontend::listen(boost::asio::io_context& context, Endpoint endpoint,
    Http2Limits limits, BackendServerSelector& selector, BuiltInPages builtInPages)
{
    std::unique_ptr<RequestFrontend> frontend(new RequestFrontend(context, limits, selector, std::move(builtInPages)));
    const auto handler
        = [target = frontend.get()](const std::shared_ptr<Http2Exchange>& exchange) { target->handle(exchange); };
    BOOST_OUTCOME_TRY(server, Http2Server::listen(context, endpoint, handler, limits));
    frontend->server_ = std::move(server);
    return frontend;
}

RequestFrontend::RequestFrontend(
    boost::asio::io_context& context, Http2Limits limits, BackendServerSelector& selector, BuiltInPages builtInPages)
    : context_(context)
    , limits_(limits)
    , selector_(selector)
    , builtInPages_(std::move(builtInPages))
{
}

RequestFrontend::~RequestFrontend() = default;

void RequestFrontend::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    const auto isListed = [&](Endpoint address) {
        return std::ranges::any_of(configuration->backendServers,
            [&](const BackendServer& server) { return server.requestAddress == address; });
    };
    // Closes idle connections to servers that are no longer configured.
    std::erase_if(
        clients_, [&](const auto& entry) { return !isListed(entry.first) && entry.second->openRequests() == 0; });
    selector_.applyConfiguration(std::move(configuration));
}

void RequestFrontend::drain(std::function<void()> onDrained) { server_->drain(std::move(onDrained)); }

Endpoint RequestFrontend::address() const { return server_->address(); }

std::size_t RequestFrontend::openRequests() const { return server_->openExchanges(); }

std::uint64_t RequestFrontend::protocolErrors() const { return server_->protocolErrors(); }

void RequestFrontend::handle(const std::shared_ptr<Http2Exchange>& exchange)
{
    if (control_ && control_->handlePeerRequest(exchange))
        return;
    if (!selector_.serviceOf(exchange->request()) && builtInPages_(exchange))
        return;
    if (control_) {
        control_->handleCallerRequest(exchange);
        return;
    }
    const RequestDecision decision = selector_.admit(exchange->request(), Clock::now());
    if (const auto* forwarded = std::get_if<ForwardRequest>(&decision))
        forward(exchange, *forwarded, 1);
    else
        refuse(*exchange, std::get<RequestProblem>(decision));
}

void RequestFrontend::forward(
    const std::shared_ptr<Http2Exchange>& exchange, const ForwardRequest& decision, int attempts)
{
    const auto onOutcome = [this, exchange, decision, attempts](
                               HttpOutcome outcome) { finish(exchange, decision, attempts, std::move(outcome)); };
    const auto id = clientOf(decision.address).send(exchange->request(), decision.deadline, onOutcome);
    exchange->onCancelled([this, address = decision.address, id] { cancel(address, id); });
}

void RequestFrontend::finish(
    const std::shared_ptr<Http2Exchange>& exchange, const ForwardRequest& sent, int attempts, HttpOutcome outcome)
{
    if (outcome) {
        selector_.finished(sent.server);
        count(RequestOutcomeKind::Answered);
        exchange->respond(std::move(outcome.value()));
        return;
    }
    const TimePoint now = Clock::now();
    const RequestProblem problem = selector_.failed(sent.server, outcome.error(), now);
    const bool mayRetry = outcome.error().kind != HttpFailureKind::Cancelled && now < sent.deadline;
    if (retriesBlindly_ && mayRetry && attempts < maxBlindAttempts) {
        const RequestDecision decision = selector_.admit(exchange->request(), now);
        if (const auto* again = std::get_if<ForwardRequest>(&decision)) {
            forward(exchange, { again->server, again->address, sent.deadline }, attempts + 1);
            return;
        }
    }
    refuse(*exchange, problem);
}

void RequestFrontend::refuse(Http2Exchange& exchange, const RequestProblem& problem)
{
    count(problem.outcome);
    exchange.respond(problem.toResponse());
}

// Does nothing if applyConfiguration() has already removed the client.
void RequestFrontend::cancel(Endpoint server, Http2Client::RequestId id)
{
    const auto found = clients_.find(server);
    if (found != clients_.end())
        found->second->cancel(id);
}

Http2Client& RequestFrontend::clientOf(Endpoint server)
{
    auto& client = clients_[server];
    if (!client)
        client = std::make_unique<Http2Client>(context_, server, limits_);
    return *client;
}

}
