#include "Request/RequestCheck.h"

#include <gtest/gtest.h>

namespace wisteriadock::testing {

namespace {

    const std::vector<std::string> zones { "walu", "laucala", "nabua" };

    CheckedRequest check(std::string_view method, std::string_view key, std::string_view deadline = "",
        std::size_t headerBytes = 0, std::size_t bodyBytes = 0)
    {
        return checkRequest({ method, key, deadline, headerBytes, bodyBytes }, zones, {});
    }

}

TEST(RequestCheck, RefusesInvalidInput)
{
    struct Case {
        CheckedRequest checked;
        RefusalReason reason;
        int status;
    };
    const std::vector<Case> cases {
        { check("POST", ""), RefusalReason::MissingKey, 400 },
        { check("POST", "\"\""), RefusalReason::MalformedKey, 400 },
        { check("POST", "a key"), RefusalReason::MalformedKey, 400 },
        { check("PATCH", "a\x01"), RefusalReason::MalformedKey, 400 },
        { check("POST", std::string(201, 'k')), RefusalReason::MalformedKey, 400 },
        { check("POST", "key", "soon"), RefusalReason::AbsurdDeadline, 400 },
        { check("POST", "key", "0"), RefusalReason::AbsurdDeadline, 400 },
        { check("POST", "key", "-5"), RefusalReason::AbsurdDeadline, 400 },
        { check("GET", "", "99999999999999999999"), RefusalReason::AbsurdDeadline, 400 },
        { check("POST", "key", "", 1 << 20), RefusalReason::OversizedHeaders, 431 },
        { check("POST", "key", "", 0, 1 << 30), RefusalReason::OversizedBody, 413 },
    };
    for (const Case& bad : cases) {
        SCOPED_TRACE(bad.checked.detail);
        ASSERT_TRUE(bad.checked.problem);
        EXPECT_EQ(*bad.checked.problem, bad.reason);
        EXPECT_EQ(statusOf(bad.reason), bad.status);
    }
}

TEST(RequestCheck, AcceptsValidRequests)
{
    const CheckedRequest upload = check("PUT", "");
    EXPECT_TRUE(upload.isIdempotent);
    EXPECT_FALSE(upload.problem);
    const CheckedRequest registration = check("POST", "\"walu.7c9e6679-7425\"", "1500");
    EXPECT_FALSE(registration.problem);
    ASSERT_TRUE(registration.key);
    EXPECT_EQ(registration.key->homeZone, 0u);
    EXPECT_EQ(registration.timeLeft, std::chrono::milliseconds(1500));
}

TEST(RequestKey, HomeDependsOnTheTextAndTheFixedZonesOnly)
{
    const auto parse = [](std::string_view text) { return RequestKey::parse(text, zones).value(); };
    EXPECT_EQ(parse("nabua.x").homeZone, 2u);
    EXPECT_EQ(parse("k").digest, parse("\"k\"").digest);
    std::vector<int> counts(3);
    for (int i = 0; i < 3000; ++i)
        ++counts[parse("key-" + std::to_string(i)).homeZone];
    for (const int count : counts)
        EXPECT_NEAR(count, 1000, 150);

    const RequestKey ticket = parse(makeTicket("laucala", 17, 1, 2));
    EXPECT_EQ(ticket.homeZone, 1u);
    EXPECT_EQ(ticket.issuedEpoch, 17u);
    EXPECT_FALSE(parse("laucala.e17.short").isTicket());
    EXPECT_FALSE(parse("laucala.e0." + std::string(32, 'a')).isTicket());
    EXPECT_FALSE(parse("elsewhere.e17." + std::string(32, 'a')).isTicket());
}

}
