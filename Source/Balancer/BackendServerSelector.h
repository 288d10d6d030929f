#pragma once

#include "Balancer/RequestProblem.h"
#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Net/Http2Client.h"
#include "Net/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wisteriadock {

// The times by which requests are bounded.
struct RequestTimes {
    std::chrono::milliseconds defaultDeadline { 5000 };
    std::chrono::milliseconds maxDeadline { 600'000 };
    // A server that could not be reached gets nothing new for this long. Without this, a dead server, which always has
    // the fewest open requests, would draw all of them.
    std::chrono::milliseconds ejectionTime { 1000 };
};

// Send the request to this server, once.
struct ForwardRequest {
    BackendServerId server;
    Endpoint address;
    TimePoint deadline;
};

using RequestDecision = std::variant<ForwardRequest, RequestProblem>;

// Decides for each request which backend server runs it, or why none does, by this balancer's own view of the servers'
// slots. It does no I/O and never sends anything twice. RequestFrontend calls it.
class BackendServerSelector {
public:
    BackendServerSelector(RequestTimes, std::uint64_t seed);

    void applyConfiguration(std::shared_ptr<const Configuration>);

    // The service that the request names by x-service or its authority; null when it names none.
    const Service* serviceOf(const HttpRequest&) const;

    // Decides about a new request. After ForwardRequest exactly one call of finished() or failed() follows.
    RequestDecision admit(const HttpRequest&, TimePoint now);
    // The server answered the request.
    void finished(BackendServerId);
    // The request ended without an answer; returns what the caller is told.
    RequestProblem failed(BackendServerId, const HttpFailure&, TimePoint now);

private:
    struct ServerUse {
        std::uint32_t outstanding = 0;
        TimePoint ejectedUntil;
    };

    const BackendServer* selectServer(const Service&, TimePoint now);
    std::chrono::seconds spreadRetryAfter();
    void release(BackendServerId);

    RequestTimes times_;
    std::mt19937_64 random_;
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<BackendServerId, ServerUse> serverUse_;
};

}
