#include "Balancer/RequestProblem.h"

#include "Core/NameTable.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

namespace {

    constexpr auto requestEndingNames = makeNameTable<RequestEnding>({
        { RequestEnding::Answered, "answered" },
        { RequestEnding::Invalid, "invalid" },
        { RequestEnding::UnknownService, "unknown_service" },
        { RequestEnding::NoServer, "no_server" },
        { RequestEnding::NotExecuted, "not_executed" },
        { RequestEnding::Unknown, "unknown" },
        { RequestEnding::Cancelled, "cancelled" },
    });
    static_assert(requestEndingNames.rows().size() == requestEndingCount);

}

std::string_view nameOf(RequestEnding ending) { return requestEndingNames.name(ending); }

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
