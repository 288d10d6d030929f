#include "Balancer/RequestProblem.h"

#include "Core/NameTable.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

namespace {

    constexpr auto requestOutcomeNames = makeNameTable<RequestOutcomeKind>({
        { RequestOutcomeKind::Answered, "answered" },
        { RequestOutcomeKind::Invalid, "invalid" },
        { RequestOutcomeKind::UnknownService, "unknown_service" },
        { RequestOutcomeKind::NoServer, "no_server" },
        { RequestOutcomeKind::NotExecuted, "not_executed" },
        { RequestOutcomeKind::Unknown, "unknown" },
        { RequestOutcomeKind::Cancelled, "cancelled" },
    });
    static_assert(requestOutcomeNames.rows().size() == requestOutcomeKindCount);

}

std::string_view nameOf(RequestOutcomeKind outcome) { return requestOutcomeNames.name(outcome); }

HttpResponse RequestProblem::toResponse() const
{
    const nlohmann::json body { { "title", title }, { "status", status }, { "executed", nameOf(executed) } };
    HttpResponse response { .status = status, .headers = {}, .body = body.dump() };
    response.headers.push_back({ "content-type", "application/problem+json" });
    if (retryAfter)
        response.headers.push_back({ "retry-after", std::to_string(retryAfter->count()) });
    return response;
}

}
