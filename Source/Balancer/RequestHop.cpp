#include "Balancer/RequestHop.h"

#include "Balancer/BalancerInstanceText.h"
#include "Core/NameTable.h"

#include <string>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::string_view prefix = "x-wisteriadock-";
    constexpr std::string_view tokenHeader = "x-wisteriadock-try";
    constexpr std::string_view ownerHeader = "x-wisteriadock-owner";
    constexpr std::string_view timeHeader = "x-wisteriadock-microseconds-left";
    constexpr std::string_view problemHeader = "x-wisteriadock-problem";
    constexpr std::string_view methodHeader = "x-wisteriadock-method";
    constexpr std::string_view pathHeader = "x-wisteriadock-path";
    constexpr std::string_view authorityHeader = "x-wisteriadock-authority";
    constexpr std::string_view outcomeHeader = "x-wisteriadock-ending";
    constexpr std::string_view reasonHeader = "x-wisteriadock-reason";
    constexpr std::string_view executedHeader = "x-wisteriadock-executed";
    constexpr std::string_view retryHeader = "x-wisteriadock-retry-after";
    constexpr std::string_view bytesHeader = "x-wisteriadock-body-bytes";

    constexpr auto outcomeNames = makeNameTable<HopOutcome>({
        { HopOutcome::Answer, "answer" },
        { HopOutcome::Refusal, "refusal" },
        { HopOutcome::Redirect, "redirect" },
    });

    constexpr auto lastReason = RefusalReason::BackupUnreachable;

    Result<RefusalReason> readReason(std::string_view text)
    {
        for (int i = 0; i <= static_cast<int>(lastReason); ++i) {
            if (nameOf(static_cast<RefusalReason>(i)) == text)
                return static_cast<RefusalReason>(i);
        }
        return Error { ErrorCode::InvalidArgument,
            "\"" + std::string(text.substr(0, 32)) + "\" is not a refusal reason" };
    }

    void add(std::vector<HttpHeader>& headers, std::string_view name, std::string_view value)
    {
        headers.push_back({ std::string(name), std::string(value) });
    }

}

void removeHopHeaders(std::vector<HttpHeader>& headers)
{
    std::erase_if(headers, [](const HttpHeader& header) { return header.name.starts_with(prefix); });
}

HttpRequest writeHop(HopRequest hop)
{
    HttpRequest request = std::move(hop.request);
    removeHopHeaders(request.headers);
    add(request.headers, tokenHeader, writeToken(hop.token));
    add(request.headers, ownerHeader, writeInstance(hop.owner));
    add(request.headers, timeHeader, std::to_string(hop.timeLeft.count()));
    if (hop.problem)
        add(request.headers, problemHeader, nameOf(*hop.problem));
    add(request.headers, methodHeader, request.method);
    add(request.headers, pathHeader, request.path);
    add(request.headers, authorityHeader, request.authority);
    request.method = "POST";
    request.path = workPath;
    return request;
}

Result<HopRequest> readHop(const HttpRequest& request)
{
    HopRequest hop;
    BOOST_OUTCOME_TRY(token, readToken(request.header(tokenHeader)));
    BOOST_OUTCOME_TRY(owner, readInstance(request.header(ownerHeader)));
    BOOST_OUTCOME_TRY(timeLeft, readNumber(request.header(timeHeader)));
    hop.token = token;
    hop.owner = owner;
    hop.timeLeft = std::chrono::microseconds(timeLeft);
    if (const std::string_view text = request.header(problemHeader); !text.empty()) {
        BOOST_OUTCOME_TRY(problem, readReason(text));
        hop.problem = problem;
    }
    hop.request.method = request.header(methodHeader);
    hop.request.path = request.header(pathHeader);
    hop.request.authority = request.header(authorityHeader);
    hop.request.headers = request.headers;
    hop.request.body = request.body;
    removeHopHeaders(hop.request.headers);
    return hop;
}

HttpResponse writeHopAnswer(HopAnswer answer)
{
    HttpResponse response = std::move(answer.response);
    removeHopHeaders(response.headers);
    add(response.headers, ownerHeader, writeInstance(answer.owner));
    add(response.headers, outcomeHeader, outcomeNames.name(answer.outcome));
    add(response.headers, bytesHeader, std::to_string(response.body.size()));
    if (answer.outcome == HopOutcome::Refusal) {
        add(response.headers, reasonHeader, nameOf(answer.refusal.reason));
        add(response.headers, executedHeader, nameOf(answer.refusal.executed));
        add(response.headers, retryHeader, std::to_string(answer.refusal.retryAfter.count()));
    }
    return response;
}

Result<HopAnswer> readHopAnswer(HttpResponse response)
{
    HopAnswer answer;
    const auto outcome = outcomeNames.value(response.header(outcomeHeader));
    if (!outcome)
        return Error { ErrorCode::InvalidArgument,
            "response is not from an owner of keys, status " + std::to_string(response.status) };
    answer.outcome = *outcome;
    BOOST_OUTCOME_TRY(owner, readInstance(response.header(ownerHeader)));
    BOOST_OUTCOME_TRY(bytes, readNumber(response.header(bytesHeader)));
    answer.owner = owner;
    answer.declaredBytes = bytes;
    if (answer.outcome == HopOutcome::Refusal) {
        BOOST_OUTCOME_TRY(reason, readReason(response.header(reasonHeader)));
        BOOST_OUTCOME_TRY(seconds, readNumber(response.header(retryHeader)));
        answer.refusal.reason = reason;
        answer.refusal.executed
            = response.header(executedHeader) == nameOf(Executed::No) ? Executed::No : Executed::Unknown;
        answer.refusal.retryAfter = std::chrono::seconds(seconds);
    }
    removeHopHeaders(response.headers);
    answer.response = std::move(response);
    return answer;
}

}
