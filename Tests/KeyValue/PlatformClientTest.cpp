#include "KeyValue/StandInFixture.h"

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class PlatformClientTest : public StandInFixture {
    protected:
        struct WatchEnd {
            std::optional<Result<PlatformEntry>> result;
        };

        // Returns once the watch waits at the platform.
        std::shared_ptr<WatchEnd> startWatch(const std::string& key, std::uint64_t revision, TimePoint deadline)
        {
            auto end = std::make_shared<WatchEnd>();
            const auto before = standIn_->store().waitingWatches();
            client_->watch(key, revision, deadline, [end](const Result<PlatformEntry>& entry) { end->result = entry; });
            runUntil([&] { return standIn_->store().waitingWatches() > before; });
            return end;
        }

        std::uint64_t grant(std::chrono::milliseconds time)
        {
            return await<PlatformLease>([&](auto done) { client_->grantLease(time, soon(), done); }).value().id;
        }
    };

    TEST_F(PlatformClientTest, writesReadsAndLearnsTheRevisionOfAConflict)
    {
        EXPECT_EQ(get("config/head").error().code, ErrorCode::NotFound);
        ASSERT_EQ(write("config/head", 0, "one \"quoted\"\n\xC3\xA9").value(), 1U);
        const auto entry = get("config/head");
        EXPECT_EQ(entry.value().value, "one \"quoted\"\n\xC3\xA9");
        EXPECT_EQ(entry.value().revision, 1U);
        const auto loser = write("config/head", 0, "rival");
        EXPECT_EQ(currentRevisionOf(loser.error()), 1U);
        EXPECT_EQ(write("config/head", 1, "two").value(), 2U);
    }

    TEST_F(PlatformClientTest, refusesLocallyWhatThePlatformCannotHold)
    {
        EXPECT_EQ(
            write("large", 0, std::string(platformValueLimit + 1, 'v')).error().code, ErrorCode::ResourceExhausted);
        EXPECT_EQ(write("binary", 0, "\xFF").error().code, ErrorCode::InvalidArgument);
        EXPECT_EQ(standIn_->store().callCount(PlatformCall::CompareAndSwap), 0U);
        // Every byte takes six in JSON here.
        const std::string largest(platformValueLimit, '\x01');
        ASSERT_TRUE(write("largest", 0, largest));
        EXPECT_EQ(get("largest").value().value, largest);
    }

    TEST_F(PlatformClientTest, aWatchWakesAtTheWriteAndCountsOnce)
    {
        const auto watch = startWatch("head", 0, soon());
        ASSERT_TRUE(write("other", 0, "x"));
        EXPECT_FALSE(watch->result);
        ASSERT_TRUE(write("head", 0, "one"));
        runUntil([&] { return watch->result.has_value(); });
        EXPECT_EQ(watch->result->value().value, "one");
        EXPECT_EQ(watch->result->value().revision, 2U);
        EXPECT_EQ(counters()["calls"]["watch"], 1);
    }

    TEST_F(PlatformClientTest, aQuietWatchEndsWithinItsDeadline)
    {
        const auto watch = startWatch("head", 0, Clock::now() + 2s);
        runUntil([&] { return watch->result.has_value(); });
        EXPECT_EQ(watch->result->error().code, ErrorCode::NotFound);
        EXPECT_EQ(standIn_->store().waitingWatches(), 0U);
    }

    // Symptom: an apply is reported as failed, yet the new configuration is in force.
    // Sequence: the write takes effect; its answer is lost. Cause: an unknown outcome was taken for a failure.
    TEST_F(PlatformClientTest, aLostAnswerIsUnknownAndTheWriteTookEffect)
    {
        setFaults(R"({"lose_answers":{"compare_and_swap":1}})");
        {
            SCOPED_TRACE("a write that loses its race does not take effect and keeps its answer");
            EXPECT_EQ(write("head", 7, "one").error().code, ErrorCode::Conflict);
        }
        EXPECT_EQ(write("head", 0, "one").error().code, ErrorCode::Unknown);
        EXPECT_EQ(get("head").value().value, "one");
        EXPECT_EQ(standIn_->store().callCount(PlatformCall::CompareAndSwap), 2U) << "the client never writes again";
        EXPECT_EQ(counters()["answers_lost"], 1);
        EXPECT_EQ(write("head", 1, "two").value(), 2U) << "the fault is used up";
    }

    // Symptom: during an outage a balancer claims to know what it cannot. Sequence: the platform goes down in one of
    // several ways while a watch waits. Cause: the ways tell different things about whether a call was acted on.
    TEST_F(PlatformClientTest, anOutageIsUnavailableOnlyWhereNothingWasDoneForSure)
    {
        struct Row {
            const char* mode;
            ErrorCode write;
        };
        for (const Row& row : { Row { "unavailable", ErrorCode::Unavailable }, Row { "refuse", ErrorCode::Unavailable },
                 Row { "reset", ErrorCode::Unknown } }) {
            SCOPED_TRACE(row.mode);
            const auto watch = startWatch("head", 0, soon());
            setFaults(std::string(R"({"down":")") + row.mode + "\"}");
            runUntil([&] { return watch->result.has_value(); });
            EXPECT_EQ(watch->result->error().code, ErrorCode::Unavailable);
            EXPECT_EQ(write("head", 0, "one").error().code, row.write);
            EXPECT_EQ(get("head").error().code, ErrorCode::Unavailable);
            setFaults(R"({"down":"up"})");
            EXPECT_EQ(get("head").error().code, ErrorCode::NotFound);
        }
        SCOPED_TRACE("nobody listens");
        const Endpoint gone = standIn_->address();
        standIn_.reset();
        client_.emplace(context_, gone);
        EXPECT_EQ(write("head", 0, "one").error().code, ErrorCode::Unavailable);
    }

    // Symptom: a write that was given up on takes effect seconds later, over somebody's newer decision.
    // Sequence: the platform is slow; the deadline passes; then the write is acted on.
    // Cause: giving up cannot call a write back, so its outcome is Unknown, not Unavailable.
    TEST_F(PlatformClientTest, aSlowWriteMayLandAfterItsDeadline)
    {
        ASSERT_FALSE(get("head")) << "from here on the connection is open";
        setFaults(R"({"slow_ms":1500})");
        EXPECT_EQ(write("head", 0, "late", std::nullopt, Clock::now() + 200ms).error().code, ErrorCode::Unknown);
        EXPECT_EQ(standIn_->store().revision(), 0U);
        runUntil([&] { return standIn_->store().revision() == 1; });
        const auto read = await<PlatformEntry>([&](auto done) { client_->get("head", Clock::now() + 200ms, done); });
        EXPECT_EQ(read.error().code, ErrorCode::DeadlineExceeded);
    }

    // Symptom: a balancer acts as owner although another one is. Sequence: it pauses; its lease lapses; it goes on.
    // Cause: nothing told it; the platform does so at its next call, and tells the watchers of its keys at once.
    TEST_F(PlatformClientTest, aLapsedLeaseDeletesItsKeysAndWakesTheirWatchers)
    {
        const auto lease = grant(2s);
        const auto kept = await<PlatformLease>([&](auto done) { client_->keepAlive(lease, soon(), done); });
        EXPECT_EQ(kept.value().timeToLive, 2s);
        ASSERT_TRUE(write("owner", 0, "balancer-1", lease));
        const auto watch = startWatch("owner", 1, soon());
        runUntil([&] { return watch->result.has_value(); });
        EXPECT_EQ(watch->result->error().code, ErrorCode::NotFound);
        EXPECT_EQ(get("owner").error().code, ErrorCode::NotFound);
        const auto lapsed = await<PlatformLease>([&](auto done) { client_->keepAlive(lease, soon(), done); });
        EXPECT_EQ(lapsed.error().code, ErrorCode::NotFound);
        EXPECT_EQ(write("owner", 0, "balancer-1", lease).error().code, ErrorCode::NotFound);
    }

    TEST_F(PlatformClientTest, everyCallEndsAtTheLatestWithTheClient)
    {
        const auto watch = startWatch("head", 0, soon());
        std::optional<ErrorCode> unsent;
        client_->compareAndSwap("large", 0, std::string(platformValueLimit + 1, 'v'), std::nullopt, soon(),
            [&](const Result<std::uint64_t>& result) { unsent = result.error().code; });
        client_.reset();
        EXPECT_EQ(unsent, ErrorCode::ResourceExhausted);
        ASSERT_TRUE(watch->result);
        EXPECT_EQ(watch->result->error().code, ErrorCode::Unavailable);
        runUntil([&] { return standIn_->store().waitingWatches() == 0; });
    }

}
}
