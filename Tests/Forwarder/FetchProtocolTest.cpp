#include "Forwarder/FetchProtocol.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <random>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct FetchProtocolTest : testing::Test {
        ManualClock clock;
        StoreReplica replica;
        // Every fifth entry is of this zone.
        FetchAnswers answers { replica,
            [](const StoreUpdate& update) { return update.value.find("walu") != std::string::npos; } };

        FetchProtocolTest()
        {
            StoreDelta listing { 0, 1001, true, false, {} };
            for (std::uint64_t revision = 2; revision <= 1001; ++revision) {
                const std::string text
                    = fmt::format(R"({{"service":"tryon","address":"10.1.{}.7:8080","zone":"{}","state":"ready"}})",
                        revision, revision % 5 == 0 ? "walu" : "nabua");
                listing.items.push_back({ fmt::format("servers/i-{:010x}", revision * 7919), text, revision, false });
            }
            replica.merge(listing, clock.now());
        }

        static HttpRequest requestAfter(std::uint64_t revision, FetchScope scope = FetchScope::Everything)
        {
            return fetchRequest(
                { BalancerId { 1 }, { 0x0A000001, 7000 }, revision, StoreReplica::Encoding::Patched, scope });
        }
    };

    // Guards against answers that carry the whole text of thousands of similar entries to each balancer.
    TEST_F(FetchProtocolTest, AnswerIsCompressedForWhomAcceptsIt)
    {
        const HttpResponse compressed = answers.answer(requestAfter(0), clock.now());
        HttpRequest old = requestAfter(0);
        std::erase_if(old.headers, [](const HttpHeader& header) { return header.name == "accept-encoding"; });
        const HttpResponse plain = answers.answer(old, clock.now());
        EXPECT_LT(compressed.content().size() * 4, plain.content().size());
        for (const HttpResponse& response : { compressed, plain }) {
            const auto delta = deltaOf(response);
            ASSERT_TRUE(delta);
            EXPECT_TRUE(delta.value().isSnapshot);
            EXPECT_EQ(delta.value().items.size(), 1000U);
        }
    }

    // Guards against a start that waits until a slow link and a slow processor have taken in the servers of all zones.
    TEST_F(FetchProtocolTest, AnswerIsLimitedToTheOwnZoneOnRequest)
    {
        const HttpRequest request = requestAfter(0, FetchScope::OwnZone);
        {
            SCOPED_TRACE("the servers of the zone, which complete nothing");
            const StoreDelta delta = deltaOf(answers.answer(request, clock.now())).value();
            EXPECT_FALSE(delta.isSnapshot);
            EXPECT_EQ(delta.items.size(), 200U);
            StoreReplica receiver;
            EXPECT_EQ(receiver.merge(delta, clock.now()).size(), 200U);
            EXPECT_EQ(receiver.completeTo(), 0U);
            receiver.merge(deltaOf(answers.answer(requestAfter(0), clock.now())).value(), clock.now());
            EXPECT_EQ(receiver.completeTo(), 1001U);
            EXPECT_EQ(receiver.size(), 1000U);
        }
        {
            SCOPED_TRACE("everything from a small replica, which a second fetch would only delay");
            StoreReplica small;
            small.merge({ 0, 9, true, false, { { "servers/i-1", "nabua", 9 } } }, clock.now());
            FetchAnswers ofSmall(small, [](const StoreUpdate&) { return false; });
            EXPECT_TRUE(deltaOf(ofSmall.answer(request, clock.now())).value().isSnapshot);
        }
        {
            SCOPED_TRACE("everything after a revision");
            const HttpRequest later = requestAfter(999, FetchScope::OwnZone);
            EXPECT_EQ(deltaOf(answers.answer(later, clock.now())).value().items.size(), 2U);
        }
    }

    // Guards against a copy of the same large answer for each of the hundreds of balancers that ask at once.
    TEST_F(FetchProtocolTest, AnswersToTheSameRequestShareTheirBody)
    {
        const HttpResponse first = answers.answer(requestAfter(0), clock.now());
        const HttpResponse second = answers.answer(requestAfter(0), clock.now());
        ASSERT_NE(first.sharedBody, nullptr);
        EXPECT_EQ(first.sharedBody, second.sharedBody);
        EXPECT_TRUE(first.body.empty());
    }

    TEST_F(FetchProtocolTest, KeptAnswersAreNotUsedAfterAChange)
    {
        const auto itemsAfter = [&](std::uint64_t revision) {
            return deltaOf(answers.answer(requestAfter(revision), clock.now())).value().items.size();
        };
        EXPECT_EQ(itemsAfter(1000), 1U);
        EXPECT_EQ(itemsAfter(1000), 1U);
        EXPECT_EQ(itemsAfter(999), 2U);
        replica.merge({ 1001, 1002, false, false, { { "servers/i-1", "x", 1002, false } } }, clock.now());
        EXPECT_EQ(itemsAfter(1000), 2U);
        clock.advance(2s);
        answers.tick(clock.now());
        EXPECT_EQ(itemsAfter(1000), 2U);
    }

    TEST_F(FetchProtocolTest, OtherRequestsAndCorruptAnswersAreRejected)
    {
        for (const char* path : { "/", "/news/", "/news/x", "/news/1x", "/news/-1", "/news/99999999999999999999999" }) {
            HttpRequest request;
            request.path = path;
            EXPECT_EQ(answers.answer(request, clock.now()).status, 404) << path;
        }
        EXPECT_FALSE(deltaOf({ 503, {}, {} }));
        HttpResponse good = answers.answer(requestAfter(0), clock.now());
        good.body = good.content();
        good.sharedBody.reset();
        std::mt19937 random(1);
        for (int i = 0; i < 2000; ++i) {
            HttpResponse corrupt = good;
            corrupt.body.resize(random() % corrupt.body.size());
            EXPECT_FALSE(deltaOf(corrupt));
        }
    }

}

}
