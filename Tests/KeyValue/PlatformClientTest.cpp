#include "KeyValue/StandInFixture.h"

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class PlatformClientTest : public StandInFixture {
    protected:
        struct WatchEnd {
            std::optional<Result<PlatformEntry>> result;
        };

        // Returns once the platform holds the watch.
        std::shared_ptr<WatchEnd> startWatch(const std::string& key, std::uint64_t revision, TimePoint deadline)
        {
            auto end = std::make_shared<WatchEnd>();
            const auto before = standIn_->store().waitingWatches();
            client_->watch(key, revision, deadline, [end](const Result<PlatformEntry>& entry) { end->result = entry; });
            runUntil([&] { return standIn_->store().waitingWatches() > before; });
            return end;
        }

        std::uint64_t grant(std::chrono::milliseconds timeToLive)
        {
            return await<PlatformLease>([&](auto done) { client_->grantLease(timeToLive, testDeadline(), done); })
                .value()
                .id;
        }
    };

    TEST_F(PlatformClientTest, WriteReadAndConflict)
    {
        EXPECT_EQ(get("config/head").error().code, ErrorCode::NotFound);
        ASSERT_EQ(write("config/head", 0, "one \"quoted\"\n\xC3\xA9").value(), 1U);
        const auto entry = get("config/head");
        EXPECT_EQ(entry.value().value, "one \"quoted\"\n\xC3\xA9");
        EXPECT_EQ(entry.value().revision, 1U);
        const auto conflict = write("config/head", 0, "other");
        EXPECT_EQ(currentRevisionOf(conflict.error()), 1U);
        EXPECT_EQ(write("config/head", 1, "two").value(), 2U);
    }

    TEST_F(PlatformClientTest, InvalidValuesAreNotSent)
    {
        EXPECT_EQ(
            write("large", 0, std::string(platformValueLimit + 1, 'v')).error().code, ErrorCode::ResourceExhausted);
        EXPECT_EQ(write("binary", 0, "\xFF").error().code, ErrorCode::InvalidArgument);
        EXPECT_EQ(standIn_->store().callCount(PlatformCall::CompareAndSwap), 0U);
        // Each of these bytes takes six bytes in JSON.
        const std::string largest(platformValueLimit, '\x01');
        ASSERT_TRUE(write("largest", 0, largest));
        EXPECT_EQ(get("largest").value().value, largest);
    }

    TEST_F(PlatformClientTest, WatchEndsAtWrite)
    {
        const auto watch = startWatch("head", 0, testDeadline());
        ASSERT_TRUE(write("other", 0, "x"));
        EXPECT_FALSE(watch->result);
        ASSERT_TRUE(write("head", 0, "one"));
        runUntil([&] { return watch->result.has_value(); });
        EXPECT_EQ(watch->result->value().value, "one");
        EXPECT_EQ(watch->result->value().revision, 2U);
        EXPECT_EQ(counters()["calls"]["watch"], 1);
    }

    TEST_F(PlatformClientTest, WatchOfUnchangedKeyEndsBeforeDeadline)
    {
        const auto watch = startWatch("head", 0, Clock::now() + 2s);
        runUntil([&] { return watch->result.has_value(); });
        EXPECT_EQ(watch->result->error().code, ErrorCode::NotFound);
        EXPECT_EQ(standIn_->store().waitingWatches(), 0U);
    }

    // Guards against reporting a write as failed that took effect while its answer was lost.
    TEST_F(PlatformClientTest, LostAnswerOfWrite)
    {
        setFaults(R"({"lose_answers":{"compare_and_swap":1}})");
        {
            SCOPED_TRACE("answers of conflicting writes are not lost");
            EXPECT_EQ(write("head", 7, "one").error().code, ErrorCode::Conflict);
        }
        EXPECT_EQ(write("head", 0, "one").error().code, ErrorCode::Unknown);
        EXPECT_EQ(get("head").value().value, "one");
        EXPECT_EQ(standIn_->store().callCount(PlatformCall::CompareAndSwap), 2U) << "writes are not retried";
        EXPECT_EQ(counters()["answers_lost"], 1);
        EXPECT_EQ(write("head", 1, "two").value(), 2U) << "only one answer is lost";
    }

    // Guards against reporting a write as having no effect in kinds of outage that leave its outcome unknown.
    TEST_F(PlatformClientTest, OutageOfPlatform)
    {
        struct Row {
            const char* mode;
            ErrorCode write;
        };
        for (const Row& row : { Row { "unavailable", ErrorCode::Unavailable }, Row { "refuse", ErrorCode::Unavailable },
                 Row { "reset", ErrorCode::Unknown } }) {
            SCOPED_TRACE(row.mode);
            const auto watch = startWatch("head", 0, testDeadline());
            setFaults(std::string(R"({"down":")") + row.mode + "\"}");
            runUntil([&] { return watch->result.has_value(); });
            EXPECT_EQ(watch->result->error().code, ErrorCode::Unavailable);
            EXPECT_EQ(write("head", 0, "one").error().code, row.write);
            EXPECT_EQ(get("head").error().code, ErrorCode::Unavailable);
            setFaults(R"({"down":"up"})");
            EXPECT_EQ(get("head").error().code, ErrorCode::NotFound);
        }
        SCOPED_TRACE("no process listens");
        const Endpoint closedAddress = standIn_->address();
        standIn_.reset();
        client_.emplace(context_, closedAddress);
        EXPECT_EQ(write("head", 0, "one").error().code, ErrorCode::Unavailable);
    }

    // Guards against reporting a write past its deadline as Unavailable, since a slow platform may still execute it.
    TEST_F(PlatformClientTest, WriteTakesEffectAfterDeadline)
    {
        ASSERT_FALSE(get("head")) << "opens the connection";
        setFaults(R"({"slow_ms":1500})");
        EXPECT_EQ(write("head", 0, "late", std::nullopt, Clock::now() + 200ms).error().code, ErrorCode::Unknown);
        EXPECT_EQ(standIn_->store().revision(), 0U);
        runUntil([&] { return standIn_->store().revision() == 1; });
        const auto read = await<PlatformEntry>([&](auto done) { client_->get("head", Clock::now() + 200ms, done); });
        EXPECT_EQ(read.error().code, ErrorCode::DeadlineExceeded);
    }

    // Guards against a paused balancer that continues as the owner of a key after its lease has expired.
    TEST_F(PlatformClientTest, ExpiredLeaseDeletesKeysAndEndsWatches)
    {
        const auto lease = grant(2s);
        const auto kept = await<PlatformLease>([&](auto done) { client_->keepAlive(lease, testDeadline(), done); });
        EXPECT_EQ(kept.value().timeToLive, 2s);
        ASSERT_TRUE(write("owner", 0, "balancer-1", lease));
        const auto watch = startWatch("owner", 1, testDeadline());
        runUntil([&] { return watch->result.has_value(); });
        EXPECT_EQ(watch->result->error().code, ErrorCode::NotFound);
        EXPECT_EQ(get("owner").error().code, ErrorCode::NotFound);
        const auto expired = await<PlatformLease>([&](auto done) { client_->keepAlive(lease, testDeadline(), done); });
        EXPECT_EQ(expired.error().code, ErrorCode::NotFound);
        EXPECT_EQ(write("owner", 0, "balancer-1", lease).error().code, ErrorCode::NotFound);
    }

    TEST_F(PlatformClientTest, DestructionEndsOpenCalls)
    {
        const auto watch = startWatch("head", 0, testDeadline());
        std::optional<ErrorCode> unsent;
        client_->compareAndSwap("large", 0, std::string(platformValueLimit + 1, 'v'), std::nullopt, testDeadline(),
            [&](const Result<std::uint64_t>& result) { unsent = result.error().code; });
        client_.reset();
        EXPECT_EQ(unsent, ErrorCode::ResourceExhausted);
        ASSERT_TRUE(watch->result);
        EXPECT_EQ(watch->result->error().code, ErrorCode::Unavailable);
        runUntil([&] { return standIn_->store().waitingWatches() == 0; });
    }

}
}
