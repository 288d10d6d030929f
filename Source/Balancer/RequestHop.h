#pragma once

#include "Core/Error.h"
#include "Net/HttpMessage.h"
#include "Request/PendingForwardTable.h"
#include "Request/RequestTypes.h"

#include <optional>
#include <string_view>

namespace wisteriadock {

// The path under which a balancer takes requests that others forward to the owner of their key.
inline constexpr std::string_view workPath = "/wisteriadock/work";

// A caller's request on its way from the balancer that took it in to the owner of its key.
struct HopRequest {
    ForwardToken token;
    BalancerInstance owner;
    std::chrono::microseconds timeLeft {};
    // Set when the request must not run.
    std::optional<RefusalReason> problem;
    HttpRequest request;
};

HttpRequest writeHop(HopRequest);
// Fails with InvalidArgument.
Result<HopRequest> readHop(const HttpRequest&);

// What the owner says of a forwarded try.
enum class HopOutcome {
    Answer, // The backend server's whole answer follows.
    Refusal,
    Redirect, // It does not own the key.
};

struct HopAnswer {
    BalancerInstance owner;
    HopOutcome outcome = HopOutcome::Redirect;
    Refusal refusal;
    std::uint64_t declaredBytes = 0;
    HttpResponse response;
};

HttpResponse writeHopAnswer(HopAnswer);
// Fails with InvalidArgument for an answer that no owner wrote.
Result<HopAnswer> readHopAnswer(HttpResponse);

// Takes out the headers that only balancers write, so that a caller can't send them.
void removeHopHeaders(std::vector<HttpHeader>&);

}
