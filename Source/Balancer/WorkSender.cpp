#include "Balancer/WorkSender.h"

#include "Balancer/RequestHop.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace wisteriadock {

namespace {

    constexpr std::string_view deadlineHeader = "x-deadline-milliseconds";

    // Replaces the caller's deadline by the time that is left, in milliseconds.
    void writeDeadline(HttpRequest& request, TimePoint deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        std::erase_if(request.headers, [](const HttpHeader& header) { return header.name == deadlineHeader; });
        request.headers.push_back({ std::string(deadlineHeader), std::to_string(std::max<std::int64_t>(left, 1)) });
    }

}

WorkSender::WorkSender(boost::asio::io_context& context, const Http2Limits& limits, Handler onEnded)
    : onEnded_(std::move(onEnded))
    , clients_(context, limits)
{
}

void WorkSender::applyConfiguration(const Configuration& configuration)
{
    clients_.keepOnly([&](Endpoint address) {
        return std::ranges::any_of(configuration.backendServers,
            [&](const BackendServer& server) { return server.requestAddress == address; });
    });
}

void WorkSender::send(const StartWork& start, const BackendServer& server, HttpRequest request)
{
    removeHopHeaders(request.headers);
    writeDeadline(request, start.deadline);
    const std::weak_ptr<int> alive = alive_;
    const auto onOutcome = [this, alive, work = start.work, serverId = server.id](HttpOutcome outcome) {
        if (alive.expired())
            return;
        sentRequests_.erase(work);
        onEnded_(work, serverId, std::move(outcome));
    };
    const auto id = clients_.clientOf(server.requestAddress).send(std::move(request), start.deadline, onOutcome);
    sentRequests_[start.work] = { server.requestAddress, id };
}

void WorkSender::cancel(WorkId work)
{
    const auto found = sentRequests_.find(work);
    if (found != sentRequests_.end())
        clients_.cancel(found->second.address, found->second.request);
}

}
