#include "Core/Error.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto errorCodeNames = makeNameTable<ErrorCode>({
        { ErrorCode::InvalidArgument, "invalid_argument" },
        { ErrorCode::NotFound, "not_found" },
        { ErrorCode::Conflict, "conflict" },
        { ErrorCode::Unavailable, "unavailable" },
        { ErrorCode::Unknown, "unknown" },
        { ErrorCode::DeadlineExceeded, "deadline_exceeded" },
        { ErrorCode::ResourceExhausted, "resource_exhausted" },
        { ErrorCode::Cancelled, "cancelled" },
    });

}

std::string_view nameOf(ErrorCode code) { return errorCodeNames.name(code); }

std::string Error::toString() const
{
    std::string text(nameOf(code));
    if (!detail.empty())
        text += ": " + detail;
    return text;
}

}
