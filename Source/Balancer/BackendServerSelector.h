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

// Deadlines of requests and the ejection time of servers.
struct RequestTimes {
    std::chrono::milliseconds defaultDeadline { 5000 };
    std::chrono::milliseconds maxDeadline { 600'000 };
    // How long a server that could not be reached gets no new requests. Otherwise a dead server, which always has the
    // fewest open requests, would attract all of them.
    std::chrono::milliseconds ejectionTime { 1000 };
};

// The request is to be sent to this server, once.
struct ForwardRequest {
    BackendServerId server;
    Endpoint address;
    TimePoint deadline;
};

using RequestDecision = std::variant<ForwardRequest, RequestProblem>;

// Selects the backend server for each request, or the problem to report, by this balancer's own count of open requests
// per server. It does no I/O and never retries. RequestFrontend calls it; admit() only for requests that no
// RequestControl handles.
class BackendServerSelector {
public:
    BackendServerSelector(RequestTimes, std::uint64_t seed);

    void applyConfiguration(std::shared_ptr<const Configuration>);

    // The service named by the x-service header or else the authority; null when there is no such service.
    const Service* serviceOf(const HttpRequest&) const;

    // Decides about a new request. After a ForwardRequest the caller must call finished() or failed() exactly once.
    RequestDecision admit(const HttpRequest&, TimePoint now);
    // The server answered the request.
    void finished(BackendServerId);
    // The request ended without an answer; returns the problem to report to the caller.
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
