#include "Balancer/BackendServerSelector.h"

#include "Balancer/ServiceLookup.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace wisteriadock {

namespace {

    constexpr std::string_view deadlineHeader = "x-deadline-milliseconds";
    constexpr std::string_view idempotencyKeyHeader = "idempotency-key";

    // The idempotent methods of RFC 9110. Requests with any other method need an idempotency key.
    constexpr std::array<std::string_view, 6> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" };

    // Spreads the retries of callers that were refused at the same time over this many seconds.
    constexpr int retrySpreadSeconds = 4;

    bool isIdempotent(std::string_view method)
    {
        return std::ranges::find(idempotentMethods, method) != idempotentMethods.end();
    }

    RequestProblem invalid(std::string title)
    {
        return { .status = 400, .title = std::move(title), .outcome = RequestOutcomeKind::Invalid };
    }

    std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text, std::chrono::milliseconds longest)
    {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isNumber = error == std::errc() && end == text.data() + text.size();
        if (!isNumber || value < 1 || value > longest.count())
            return std::nullopt;
        return std::chrono::milliseconds(value);
    }

}

BackendServerSelector::BackendServerSelector(RequestTimes times, std::uint64_t seed)
    : times_(times)
    , random_(seed)
    , configuration_(std::make_shared<const Configuration>())
{
}

void BackendServerSelector::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    configuration_ = std::move(configuration);
    std::erase_if(serverUse_, [&](const auto& entry) {
        const auto& servers = configuration_->backendServers;
        const bool isListed
            = std::ranges::any_of(servers, [&](const auto& server) { return server.id == entry.first; });
        return !isListed && entry.second.outstanding == 0;
    });
}

const Service* BackendServerSelector::serviceOf(const HttpRequest& request) const
{
    return findServiceOf(*configuration_, request);
}

RequestDecision BackendServerSelector::admit(const HttpRequest& request, TimePoint now)
{
    const Service* service = serviceOf(request);
    if (!service) {
        return RequestProblem {
            .status = 404, .title = "The request names no known service", .outcome = RequestOutcomeKind::UnknownService
        };
    }
    if (!isIdempotent(request.method) && request.header(idempotencyKeyHeader).empty())
        return invalid(fmt::format("{} needs an Idempotency-Key", request.method));

    std::chrono::milliseconds time = times_.defaultDeadline;
    if (const std::string_view text = request.header(deadlineHeader); !text.empty()) {
        const auto parsed = parseDeadline(text, times_.maxDeadline);
        if (!parsed)
            return invalid(fmt::format("{} is not from 1 to {}", deadlineHeader, times_.maxDeadline.count()));
        time = *parsed;
    }

    const BackendServer* server = selectServer(*service, now);
    if (!server) {
        return RequestProblem { .title = "No backend server of the service has a free slot",
            .retryAfter = spreadRetryAfter(),
            .outcome = RequestOutcomeKind::NoServer };
    }
    ++serverUse_[server->id].outstanding;
    return ForwardRequest { .server = server->id, .address = server->requestAddress, .deadline = now + time };
}

// Returns the active server with a free slot that has the fewest open requests; null when there is none. Ties are
// broken at random so that the balancers of a fleet do not all prefer the same server.
const BackendServer* BackendServerSelector::selectServer(const Service& service, TimePoint now)
{
    const BackendServer* best = nullptr;
    std::uint32_t fewest = 0;
    std::uint32_t ties = 0;
    for (const BackendServer& server : configuration_->backendServers) {
        if (server.service != service.id || server.state != BackendServerState::Active)
            continue;
        const auto found = serverUse_.find(server.id);
        const ServerUse use = found == serverUse_.end() ? ServerUse {} : found->second;
        if (use.outstanding >= server.slots || now < use.ejectedUntil)
            continue;
        if (!best || use.outstanding < fewest) {
            best = &server;
            fewest = use.outstanding;
            ties = 1;
        } else if (use.outstanding == fewest && random_() % ++ties == 0) {
            best = &server;
        }
    }
    return best;
}

void BackendServerSelector::finished(BackendServerId server) { release(server); }

RequestProblem BackendServerSelector::failed(BackendServerId server, const HttpFailure& failure, TimePoint now)
{
    release(server);
    switch (failure.kind) {
    case HttpFailureKind::NotSent:
        serverUse_[server].ejectedUntil = now + times_.ejectionTime;
        [[fallthrough]];
    case HttpFailureKind::Refused:
        return { .title = "The backend server did not take the request",
            .retryAfter = spreadRetryAfter(),
            .outcome = RequestOutcomeKind::NotExecuted };
    case HttpFailureKind::DeadlineExceeded:
        return { .status = 504,
            .title = "The backend server did not answer by the deadline",
            .executed = Executed::Unknown,
            .outcome = RequestOutcomeKind::Unknown };
    case HttpFailureKind::Cancelled:
        return { .status = 499,
            .title = "The caller gave up",
            .executed = Executed::Unknown,
            .outcome = RequestOutcomeKind::Cancelled };
    case HttpFailureKind::Lost:
    case HttpFailureKind::Incomplete:
        break;
    }
    return { .status = 502,
        .title = "The backend server's answer was lost",
        .executed = Executed::Unknown,
        .outcome = RequestOutcomeKind::Unknown };
}

std::chrono::seconds BackendServerSelector::spreadRetryAfter()
{
    return std::chrono::seconds(1 + random_() % retrySpreadSeconds);
}

void BackendServerSelector::release(BackendServerId server)
{
    const auto found = serverUse_.find(server);
    if (found != serverUse_.end() && found->second.outstanding > 0)
        --found->second.outstanding;
}

}
