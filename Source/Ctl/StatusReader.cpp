#include "Ctl/StatusReader.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

namespace {

    Result<BalancerStatus> pendingStatus() { return Error { ErrorCode::Unavailable, "not asked" }; }

    Result<BalancerStatus> toStatus(const HttpOutcome& outcome)
    {
        if (!outcome)
            return Error { ErrorCode::Unavailable,
                fmt::format("{}: {}", nameOf(outcome.error().kind), outcome.error().detail) };
        if (outcome.value().status != 200)
            return Error { ErrorCode::Unavailable, fmt::format("/status answered {}", outcome.value().status) };
        return BalancerStatus::parse(outcome.value().body);
    }

}

StatusReader::StatusReader(boost::asio::io_context& context)
    : context_(context)
{
}

void StatusReader::read(const std::vector<Endpoint>& balancers, TimePoint deadline, Callback callback)
{
    callback_ = std::move(callback);
    clients_.clear();
    probes_.clear();
    for (const Endpoint& balancer : balancers)
        probes_.push_back({ balancer, pendingStatus() });
    pendingRequests_ = balancers.size();
    if (balancers.empty()) {
        callback_({});
        return;
    }
    for (std::size_t index = 0; index < balancers.size(); ++index) {
        clients_.push_back(std::make_unique<Http2Client>(context_, balancers[index]));
        HttpRequest request;
        request.path = "/status";
        request.authority = balancers[index].toString();
        clients_.back()->send(std::move(request), deadline,
            [this, index](const HttpOutcome& outcome) { finish(index, toStatus(outcome)); });
    }
}

void StatusReader::finish(std::size_t index, Result<BalancerStatus> status)
{
    probes_[index].status = std::move(status);
    if (--pendingRequests_ == 0)
        callback_(std::move(probes_));
}

}
