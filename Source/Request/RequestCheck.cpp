#include "Request/RequestCheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace wisteriadock {

namespace {

    constexpr std::array<std::string_view, 6> idempotentMethods
        = { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" };

    void setProblem(CheckedRequest& checked, RefusalReason reason, std::string detail)
    {
        if (checked.problem)
            return;
        checked.problem = reason;
        checked.detail = std::move(detail);
    }

    void checkKey(CheckedRequest& checked, std::string_view text, const std::vector<std::string>& zones)
    {
        if (text.empty())
            return setProblem(checked, RefusalReason::MissingKey, "non-idempotent methods need an Idempotency-Key");
        auto key = RequestKey::parse(text, zones);
        if (!key)
            return setProblem(checked, RefusalReason::MalformedKey, key.error().detail);
        checked.key = key.value();
    }

    void checkDeadline(CheckedRequest& checked, std::string_view text, const RequestLimits& limits)
    {
        checked.timeLeft = limits.defaultDeadline;
        if (text.empty())
            return;
        std::int64_t milliseconds = 0;
        const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        const bool isNumber = error == std::errc() && rest == text.data() + text.size();
        if (!isNumber || milliseconds < 1 || milliseconds > limits.maxDeadline.count())
            return setProblem(checked, RefusalReason::AbsurdDeadline,
                fmt::format(
                    "deadline \"{}\" is not 1 to {} milliseconds", text.substr(0, 32), limits.maxDeadline.count()));
        checked.timeLeft = std::chrono::milliseconds(milliseconds);
    }

}

bool isIdempotentMethod(std::string_view method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

CheckedRequest checkRequest(
    const RequestFields& fields, const std::vector<std::string>& zones, const RequestLimits& limits)
{
    CheckedRequest checked;
    checked.isIdempotent = isIdempotentMethod(fields.method);
    if (!checked.isIdempotent)
        checkKey(checked, fields.key, zones);
    checkDeadline(checked, fields.deadline, limits);
    if (fields.headerBytes > limits.headerBytes)
        setProblem(checked, RefusalReason::OversizedHeaders,
            fmt::format("headers of {} bytes, limit {}", fields.headerBytes, limits.headerBytes));
    if (fields.bodyBytes > limits.bodyBytes)
        setProblem(checked, RefusalReason::OversizedBody,
            fmt::format("body of {} bytes, limit {}", fields.bodyBytes, limits.bodyBytes));
    return checked;
}

}
