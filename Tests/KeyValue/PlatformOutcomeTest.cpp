#include "KeyValue/PlatformOutcome.h"

#include "KeyValue/PlatformTypes.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    // Guards against reporting a write as having no effect when its outcome is unknown.
    TEST(PlatformOutcomeTest, FailedWritesAreUnavailableOnlyWithoutEffect)
    {
        struct Row {
            HttpFailureKind kind;
            ErrorCode write;
            ErrorCode read;
        };
        const Row rows[] = {
            { HttpFailureKind::NotSent, ErrorCode::Unavailable, ErrorCode::Unavailable },
            { HttpFailureKind::Refused, ErrorCode::Unavailable, ErrorCode::Unavailable },
            { HttpFailureKind::Lost, ErrorCode::Unknown, ErrorCode::Unavailable },
            { HttpFailureKind::DeadlineExceeded, ErrorCode::Unknown, ErrorCode::DeadlineExceeded },
            { HttpFailureKind::Cancelled, ErrorCode::Unknown, ErrorCode::Unavailable },
            { HttpFailureKind::Incomplete, ErrorCode::Unknown, ErrorCode::Unavailable },
        };
        for (const Row& row : rows) {
            SCOPED_TRACE(nameOf(row.kind));
            for (const auto call : { PlatformCall::CompareAndSwap, PlatformCall::GrantLease, PlatformCall::KeepAlive })
                EXPECT_EQ(errorOf(HttpFailure { row.kind, "" }, call).code, row.write);
            for (const auto call : { PlatformCall::Get, PlatformCall::Watch, PlatformCall::ListVms })
                EXPECT_EQ(errorOf(HttpFailure { row.kind, "" }, call).code, row.read);
        }
    }

    TEST(PlatformOutcomeTest, RefusalsKeepCodeAndDetail)
    {
        for (const auto code : { ErrorCode::InvalidArgument, ErrorCode::NotFound, ErrorCode::Conflict,
                 ErrorCode::ResourceExhausted, ErrorCode::Unavailable }) {
            const Error refusal { code, "the detail" };
            EXPECT_EQ(errorOf(refusalOf(refusal), PlatformCall::CompareAndSwap), refusal);
        }
        EXPECT_EQ(currentRevisionOf(conflictError("current revision 9", 4, 5)), 5U);
    }

    // Guards against taking the error of a proxy or another server for a refusal by the platform.
    TEST(PlatformOutcomeTest, AnswersOfOtherServers)
    {
        const HttpResponse foreign[] = {
            { 503, {}, "" },
            { 503, {}, R"({"error":"unavailable","detail":"","executed":"unknown"})" },
            { 404, {}, "<html>" },
            { 409, {}, R"({"error":"not_found","detail":"","executed":"no"})" },
            { 500, {}, R"({"error":"unavailable","detail":"","executed":"no"})" },
            { 204, {}, "" },
        };
        for (const HttpResponse& response : foreign) {
            SCOPED_TRACE(response.status);
            EXPECT_EQ(errorOf(response, PlatformCall::CompareAndSwap).code, ErrorCode::Unknown);
            EXPECT_EQ(errorOf(response, PlatformCall::Get).code, ErrorCode::Unavailable);
        }
    }

}
}
