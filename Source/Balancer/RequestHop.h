#pragma once

#include "Core/Error.h"
#include "Net/HttpMessage.h"
#include "Request/PendingForwardTable.h"
#include "Request/RequestTypes.h"

#include <optional>
#include <string_view>

namespace wisteriadock {

// The HTTP path at which a balancer accepts requests that others forward to the owner of their key.
inline constexpr std::string_view workPath = "/wisteriadock/work";

// A caller's request as the balancer that received it forwards it to the owner of its key.
struct HopRequest {
    ForwardToken token;
    BalancerInstance owner;
    std::chrono::microseconds timeLeft {};
    // Set when the request must not run: the reason.
    std::optional<RefusalReason> problem;
    HttpRequest request;
};

HttpRequest writeHop(HopRequest);
// Fails with InvalidArgument.
Result<HopRequest> readHop(const HttpRequest&);

// How the owner of a key answers a forwarded attempt.
enum class HopOutcome {
    Answer, // Carries the backend server's complete response.
    Refusal,
    Redirect, // The receiver does not own the key.
};

struct HopAnswer {
    BalancerInstance owner;
    HopOutcome outcome = HopOutcome::Redirect;
    Refusal refusal;
    std::uint64_t declaredBytes = 0;
    HttpResponse response;
};

HttpResponse writeHopAnswer(HopAnswer);
// Fails with InvalidArgument unless an owner wrote the response.
Result<HopAnswer> readHopAnswer(HttpResponse);

// Removes the headers that only balancers may send.
void removeHopHeaders(std::vector<HttpHeader>&);

}
