#include "StandIns/Platform/PlatformStore.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class PlatformStoreTest : public testing::Test {
    protected:
        Result<std::uint64_t> write(const std::string& key, std::uint64_t expected, const std::string& value,
            std::optional<std::uint64_t> lease = std::nullopt)
        {
            return store_.compareAndSwap({ key, expected, value, lease }, clock_.now());
        }

        std::optional<std::string> valueOf(const std::string& key)
        {
            const auto entry = store_.get(key, clock_.now());
            return entry ? std::optional(entry.value().value) : std::nullopt;
        }

        std::uint64_t grant(std::chrono::milliseconds timeToLive)
        {
            return store_.grantLease(timeToLive, clock_.now()).value().id;
        }

        ManualClock clock_;
        PlatformStore store_;
    };

    TEST_F(PlatformStoreTest, CompareAndSwapChecksRevisions)
    {
        ASSERT_EQ(write("head", 0, "one").value(), 1U);
        ASSERT_EQ(write("other", 0, "x").value(), 2U);
        {
            SCOPED_TRACE("of two writes that expect revision 1 the first one succeeds");
            EXPECT_EQ(write("head", 1, "two").value(), 3U);
            const auto conflict = write("head", 1, "rival");
            ASSERT_FALSE(conflict);
            EXPECT_EQ(currentRevisionOf(conflict.error()), 3U);
        }
        {
            SCOPED_TRACE("create an existing key, change a missing key");
            EXPECT_EQ(currentRevisionOf(write("head", 0, "again").error()), 3U);
            EXPECT_EQ(currentRevisionOf(write("absent", 5, "x").error()), 0U);
        }
        EXPECT_EQ(valueOf("head"), "two");
    }

    TEST_F(PlatformStoreTest, ValueSizeLimit)
    {
        EXPECT_TRUE(write("largest", 0, std::string(platformValueLimit, 'v')));
        EXPECT_EQ(
            write("larger", 0, std::string(platformValueLimit + 1, 'v')).error().code, ErrorCode::ResourceExhausted);
        EXPECT_EQ(valueOf("larger"), std::nullopt);
    }

    // Guards against accepting calls with an expired lease from a holder that was paused.
    TEST_F(PlatformStoreTest, LeaseExpiresWhileHolderIsPaused)
    {
        const auto lease = grant(100ms);
        ASSERT_TRUE(write("member", 0, "balancer-1", lease));
        {
            SCOPED_TRACE("keepAlive extends the lease");
            clock_.advance(99ms);
            ASSERT_TRUE(store_.keepAlive(lease, clock_.now()));
            clock_.advance(99ms);
            EXPECT_EQ(valueOf("member"), "balancer-1");
        }
        SCOPED_TRACE("the holder is paused until the lease expires");
        const auto watch = store_.watch("member", 1, clock_.now() + 1h, clock_.now());
        clock_.advance(1ms);
        EXPECT_EQ(store_.nextDeadline(), clock_.now());
        store_.advance(clock_.now());
        const auto ended = store_.takeEndedWatches();
        ASSERT_EQ(ended.size(), 1U);
        EXPECT_EQ(ended[0].id, watch);
        EXPECT_EQ(ended[0].result.error().code, ErrorCode::NotFound);
        EXPECT_EQ(valueOf("member"), std::nullopt);
        EXPECT_EQ(store_.keepAlive(lease, clock_.now()).error().code, ErrorCode::NotFound);
        EXPECT_EQ(write("member", 0, "balancer-1", lease).error().code, ErrorCode::NotFound);
        EXPECT_EQ(write("member", 0, "balancer-2").value(), 3U) << "the deletion used revision 2";
    }

    TEST_F(PlatformStoreTest, WriteWithoutLeaseDetachesKey)
    {
        ASSERT_TRUE(write("key", 0, "tied", grant(100ms)));
        ASSERT_TRUE(write("key", 1, "untied"));
        clock_.advance(1s);
        EXPECT_EQ(valueOf("key"), "untied");
    }

    TEST_F(PlatformStoreTest, WatchesEndOnce)
    {
        ASSERT_TRUE(write("head", 0, "one"));
        const auto until = clock_.now() + 100ms;
        const auto outdated = store_.watch("head", 0, until, clock_.now());
        auto ended = store_.takeEndedWatches();
        ASSERT_EQ(ended.size(), 1U) << "a newer value is answered at once";
        EXPECT_EQ(ended[0].id, outdated);

        const auto waiting = store_.watch("head", 1, until, clock_.now());
        const auto quiet = store_.watch("quiet", 0, until, clock_.now());
        const auto cancelled = store_.watch("head", 1, until, clock_.now());
        store_.cancelWatch(cancelled);
        EXPECT_EQ(store_.waitingWatches(), 2U);
        {
            SCOPED_TRACE("a write ends the watches of its key");
            ASSERT_TRUE(write("head", 1, "two"));
            ended = store_.takeEndedWatches();
            ASSERT_EQ(ended.size(), 1U);
            EXPECT_EQ(ended[0].id, waiting);
            EXPECT_EQ(ended[0].result.value().value, "two");
        }
        {
            SCOPED_TRACE("the deadline ends the other watch");
            clock_.advance(100ms);
            store_.advance(clock_.now());
            ended = store_.takeEndedWatches();
            ASSERT_EQ(ended.size(), 1U);
            EXPECT_EQ(ended[0].id, quiet);
            EXPECT_EQ(ended[0].result.error().code, ErrorCode::NotFound);
        }
        EXPECT_EQ(store_.callCount(PlatformCall::Watch), 4U);
        EXPECT_EQ(store_.callCount(PlatformCall::CompareAndSwap), 2U);
        EXPECT_EQ(store_.nextDeadline(), std::nullopt);
    }

    // Guards against a stand-in without a hazard of restored stores: one revision then stands for two values.
    TEST_F(PlatformStoreTest, RestoredSnapshotResetsRevisions)
    {
        const auto lease = grant(100ms);
        ASSERT_TRUE(write("head", 0, "one"));
        ASSERT_TRUE(write("member", 0, "balancer-1", lease));
        const auto snapshot = store_.takeSnapshot(clock_.now());
        ASSERT_EQ(write("head", 1, "two").value(), 3U);
        const auto watch = store_.watch("head", 3, clock_.now() + 1h, clock_.now());
        clock_.advance(1s);
        EXPECT_EQ(valueOf("member"), std::nullopt);

        store_.restore(snapshot, clock_.now());
        const auto ended = store_.takeEndedWatches();
        ASSERT_EQ(ended.size(), 1U);
        EXPECT_EQ(ended[0].id, watch);
        EXPECT_EQ(ended[0].result.error().code, ErrorCode::Unavailable);
        EXPECT_EQ(valueOf("head"), "one");
        EXPECT_EQ(valueOf("member"), "balancer-1") << "the lease keeps its remaining time";
        EXPECT_EQ(write("head", 1, "rival").value(), 3U);
        EXPECT_GT(grant(100ms), watch) << "lease ids are not reused";
        clock_.advance(100ms);
        EXPECT_EQ(valueOf("member"), std::nullopt);
    }

    // Guards against a stand-in whose list of VMs is always current, unlike the platform's.
    TEST_F(PlatformStoreTest, VmListLags)
    {
        const Vm vm { "vm-1", "walu", "127.0.0.1:7000", VmState::Live };
        store_.setVms({ vm }, clock_.now());
        store_.setVmLag(2s);
        store_.setVms({}, clock_.now());
        EXPECT_EQ(store_.listVms(clock_.now()).size(), 1U);
        clock_.advance(1999ms);
        EXPECT_EQ(store_.listVms(clock_.now()).size(), 1U);
        clock_.advance(1ms);
        EXPECT_TRUE(store_.listVms(clock_.now()).empty());
    }

}
}
