#include "KeyValue/PlatformOutcome.h"

#include "KeyValue/PlatformJson.h"

#include <fmt/format.h>

#include <array>

namespace wisteriadock {

namespace {

    struct StatusRow {
        ErrorCode code;
        int status;
    };

    constexpr std::array<StatusRow, 5> statusRows { {
        { ErrorCode::InvalidArgument, 400 },
        { ErrorCode::NotFound, 404 },
        { ErrorCode::Conflict, 409 },
        { ErrorCode::ResourceExhausted, 413 },
        { ErrorCode::Unavailable, 503 },
    } };

    std::optional<ErrorCode> codeOfStatus(int status)
    {
        for (const StatusRow& row : statusRows) {
            if (row.status == status)
                return row.code;
        }
        return std::nullopt;
    }

    int statusOf(ErrorCode code)
    {
        for (const StatusRow& row : statusRows) {
            if (row.code == code)
                return row.status;
        }
        return 500;
    }

    ErrorCode uncertainCode(PlatformCall call) { return isWrite(call) ? ErrorCode::Unknown : ErrorCode::Unavailable; }

    ErrorCode codeOfFailure(HttpFailureKind kind, PlatformCall call)
    {
        switch (kind) {
        case HttpFailureKind::NotSent:
        case HttpFailureKind::Refused:
            return ErrorCode::Unavailable;
        case HttpFailureKind::DeadlineExceeded:
            return isWrite(call) ? ErrorCode::Unknown : ErrorCode::DeadlineExceeded;
        case HttpFailureKind::Lost:
        case HttpFailureKind::Cancelled:
        case HttpFailureKind::Incomplete:
            return uncertainCode(call);
        }
        return uncertainCode(call);
    }

    // Returns the detail of a refusal written by the platform, or nothing for any other body.
    std::optional<std::string> refusalDetail(const HttpResponse& response, ErrorCode code)
    {
        const auto body = parseJsonObject(response.body);
        if (!body)
            return std::nullopt;
        const auto name = textField(body.value(), "error");
        const auto executed = textField(body.value(), "executed");
        const auto detail = textField(body.value(), "detail");
        if (!name || !executed || !detail || name.value() != nameOf(code) || executed.value() != "no")
            return std::nullopt;
        return detail.value();
    }

}

Error errorOf(const HttpFailure& failure, PlatformCall call)
{
    return { codeOfFailure(failure.kind, call),
        fmt::format("{}: {}: {}", nameOf(call), nameOf(failure.kind), failure.detail) };
}

Error errorOf(const HttpResponse& response, PlatformCall call)
{
    if (const auto code = codeOfStatus(response.status)) {
        if (auto detail = refusalDetail(response, *code))
            return { *code, *std::move(detail) };
    }
    return { uncertainCode(call), fmt::format("{}: unexpected answer of status {}", nameOf(call), response.status) };
}

Error malformedAnswer(const Error& reason, PlatformCall call)
{
    return { uncertainCode(call), fmt::format("{}: unreadable answer: {}", nameOf(call), reason.detail) };
}

HttpResponse refusalOf(const Error& error)
{
    // The detail may quote a key that is not UTF-8; invalid bytes are replaced.
    const Json body { { "error", nameOf(error.code) }, { "detail", error.detail }, { "executed", "no" } };
    return { statusOf(error.code), { { "content-type", "application/json" } },
        body.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

}
