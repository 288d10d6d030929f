#include "StoreSync/StoreReplica.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    StoreUpdate item(const std::string& key, const std::string& value, std::uint64_t revision)
    {
        return { key, value, revision, false };
    }

    StoreUpdate removal(const std::string& key, std::uint64_t revision) { return { key, {}, revision, true }; }

    StoreDelta snapshot(std::uint64_t to, std::vector<StoreUpdate> items)
    {
        return { 0, to, true, false, std::move(items) };
    }

    StoreDelta delta(std::uint64_t from, std::uint64_t to, std::vector<StoreUpdate> items)
    {
        return { from, to, false, false, std::move(items) };
    }

    struct StoreReplicaTest : testing::Test {
        ManualClock clock;
        StoreReplica replica;
    };

    TEST_F(StoreReplicaTest, SnapshotAndThenChangesMakeItComplete)
    {
        EXPECT_EQ(replica.merge(snapshot(10, { item("a", "1", 4), item("b", "1", 9) }), clock.now()).size(), 2U);
        EXPECT_EQ(replica.completeTo(), 10U);
        const auto changed = replica.merge(delta(10, 14, { removal("b", 14), item("a", "2", 12) }), clock.now());
        ASSERT_EQ(changed.size(), 2U);
        EXPECT_EQ(changed.front().revision, 12U);
        EXPECT_EQ(replica.completeTo(), 14U);
    }

    TEST_F(StoreReplicaTest, DeltaAfterAGapIsMergedButDoesNotMakeItComplete)
    {
        replica.merge(snapshot(10, {}), clock.now());
        EXPECT_EQ(replica.merge(delta(20, 22, { item("a", "1", 22) }), clock.now()).size(), 1U);
        EXPECT_EQ(replica.completeTo(), 10U);
        replica.merge(delta(10, 22, { item("b", "1", 15), item("a", "1", 22) }), clock.now());
        EXPECT_EQ(replica.completeTo(), 22U);
    }

    // The store was restored from a copy of before revision 9.
    struct StoreReplicaEraTest : StoreReplicaTest {
        StoreReplica other;

        StoreReplicaEraTest()
        {
            for (StoreReplica* each : { &replica, &other })
                each->merge(
                    snapshot(inEra(1, 10), { item("a", "1", inEra(1, 4)), item("b", "1", inEra(1, 9)) }), clock.now());
        }

        static std::uint64_t inEra(std::uint64_t era, std::uint64_t revision) { return revisionInEra(era, revision); }

        static StoreDelta restored()
        {
            return snapshot(inEra(2, 8), { item("a", "1", inEra(2, 4)), item("c", "1", inEra(2, 7)) });
        }
    };

    TEST_F(StoreReplicaEraTest, RestoredStoreReplacesWhatItHasLost)
    {
        const auto changed = replica.merge(restored(), clock.now());
        {
            SCOPED_TRACE("what the store still holds is no update");
            ASSERT_EQ(changed.size(), 2U);
            EXPECT_EQ(changed[0].key, "c");
            EXPECT_EQ(changed[1].key, "b");
            EXPECT_TRUE(changed[1].isRemoved);
        }
        EXPECT_TRUE(replica.hasEnteredEra());
        EXPECT_EQ(replica.completeTo(), inEra(2, 8));
        {
            SCOPED_TRACE("what is written again unchanged is no update either");
            EXPECT_TRUE(
                replica.merge(delta(inEra(2, 8), inEra(2, 9), { item("a", "1", inEra(2, 9)) }), clock.now()).empty());
            EXPECT_EQ(replica.completeTo(), inEra(2, 9));
        }
    }

    // Guards against what balancers of an earlier era still push or answer.
    TEST_F(StoreReplicaEraTest, DeltasOfAnEarlierEraAreRefused)
    {
        replica.merge(restored(), clock.now());
        EXPECT_TRUE(
            replica.merge(delta(inEra(1, 10), inEra(1, 12), { item("a", "2", inEra(1, 12)) }), clock.now()).empty());
        EXPECT_EQ(replica.refusal(), StoreReplica::Refusal::EarlierEra);
        EXPECT_TRUE(replica.merge(snapshot(inEra(1, 99), { item("a", "2", inEra(1, 98)) }), clock.now()).empty());
        EXPECT_EQ(replica.refusal(), StoreReplica::Refusal::EarlierEra);
    }

    TEST_F(StoreReplicaEraTest, BalancerWithTheSameContentNeedsOnlyWhatDiffers)
    {
        replica.merge(snapshot(inEra(2, 8), { item("a", "1", inEra(2, 4)), item("b", "2", inEra(2, 8)) }), clock.now());
        const StoreDelta answer = replica.deltaSince(other.completeTo(), clock.now());
        EXPECT_FALSE(answer.isSnapshot);
        ASSERT_EQ(answer.items.size(), 1U);
        EXPECT_EQ(other.merge(answer, clock.now()).size(), 1U);
        EXPECT_EQ(other.completeTo(), replica.completeTo());
        EXPECT_EQ(other.digest(), replica.digest());
    }

    // Guards against a balancer that keeps an update which only it had received before the restore.
    TEST_F(StoreReplicaEraTest, BalancerWithOtherContentNeedsEverything)
    {
        other.merge(delta(inEra(1, 10), inEra(1, 11), { item("d", "lost", inEra(1, 11)) }), clock.now());
        replica.merge(snapshot(inEra(2, 8), { item("a", "1", inEra(2, 4)), item("b", "2", inEra(2, 8)) }), clock.now());
        EXPECT_TRUE(other.merge(replica.deltaSince(other.completeTo(), clock.now()), clock.now()).empty());
        EXPECT_EQ(other.refusal(), StoreReplica::Refusal::OtherContent);
        EXPECT_TRUE(other.needsSnapshot());
        other.merge(replica.deltaSince(0, clock.now()), clock.now());
        EXPECT_FALSE(other.needsSnapshot());
        EXPECT_EQ(other.completeTo(), replica.completeTo());
        EXPECT_EQ(other.digest(), replica.digest());
    }

    // Guards against a value that is patched although its base has the same number in another era.
    TEST_F(StoreReplicaEraTest, PatchOfAnotherEraIsNotApplied)
    {
        StoreDelta patched = delta(inEra(2, 9), inEra(2, 12), {});
        patched.patchedFrom = patched.from;
        patched.patches.push_back({ "b", inEra(2, 9), inEra(2, 12), "bytes" });
        EXPECT_TRUE(replica.merge(patched, clock.now()).empty());
        EXPECT_TRUE(replica.lacksPatchBase());
    }

    // Guards against a balancer that lists early in an era and misses what another has carried over since.
    TEST_F(StoreReplicaEraTest, CarriedOverValuesAreSentToThoseWhoEnteredTheEraEarlier)
    {
        StoreReplica early;
        early.merge(snapshot(inEra(2, 3), { item("a", "0", inEra(2, 2)) }), clock.now());
        replica.merge(restored(), clock.now());
        early.merge(replica.deltaSince(early.completeTo(), clock.now()), clock.now());
        EXPECT_EQ(early.completeTo(), replica.completeTo());
        EXPECT_EQ(early.digest(), replica.digest());
    }

    // Guards against fetching what has arrived already because datagrams overtook each other.
    TEST_F(StoreReplicaTest, DeltasInAnyOrderMakeItComplete)
    {
        const std::vector<StoreDelta> deltas { delta(10, 12, { item("a", "1", 12) }), delta(12, 15, {}),
            delta(14, 20, { item("b", "1", 17) }), delta(20, 21, { item("a", "2", 21) }) };
        std::vector<std::size_t> order { 0, 1, 2, 3 };
        do {
            StoreReplica each;
            each.merge(snapshot(10, {}), clock.now());
            for (std::size_t i = 0; i < order.size(); ++i) {
                EXPECT_LT(each.completeTo(), 21U);
                each.merge(deltas[order[i]], clock.now());
            }
            EXPECT_EQ(each.completeTo(), 21U);
            EXPECT_EQ(each.deltaSince(0, clock.now()).items.size(), 2U);
        } while (std::ranges::next_permutation(order).found);
    }

    // Guards against going back to an older configuration when a stale listing or an old push arrives.
    TEST_F(StoreReplicaTest, OlderStateNeverReplacesNewerState)
    {
        replica.merge(snapshot(30, { item("a", "new", 25) }), clock.now());
        EXPECT_TRUE(replica.merge(snapshot(20, { item("a", "old", 15) }), clock.now()).empty());
        EXPECT_TRUE(replica.merge(delta(0, 20, { item("a", "old", 15), removal("a", 16) }), clock.now()).empty());
        EXPECT_EQ(replica.deltaSince(0, clock.now()).items, std::vector<StoreUpdate> { item("a", "new", 25) });
    }

    TEST_F(StoreReplicaTest, SnapshotRemovesMissingKeys)
    {
        replica.merge(snapshot(10, { item("a", "1", 4), item("b", "1", 9) }), clock.now());
        const auto changed = replica.merge(snapshot(20, { item("a", "1", 4) }), clock.now());
        ASSERT_EQ(changed.size(), 1U);
        EXPECT_EQ(changed.front(), removal("b", 20));
    }

    // Guards against a listing with an old page that removes a key which the page could not show yet.
    TEST_F(StoreReplicaTest, ListingWithAnOldPageKeepsLaterKeys)
    {
        replica.merge(delta(95, 96, { item("z", "1", 96) }), clock.now());
        replica.merge(snapshot(90, { item("a", "1", 98), item("b", "1", 50) }), clock.now());
        EXPECT_EQ(replica.completeTo(), 90U);
        EXPECT_EQ(replica.deltaSince(0, clock.now()).items.size(), 3U);
        {
            SCOPED_TRACE("what it lacks is merged without replacing the newer page");
            replica.merge(delta(90, 98, { item("a", "0", 92), removal("b", 94), item("z", "1", 96) }), clock.now());
            const StoreDelta held = replica.deltaSince(0, clock.now());
            EXPECT_EQ(replica.completeTo(), 98U);
            EXPECT_EQ(held.items.size(), 2U);
            const auto a = std::ranges::find(held.items, "a", &StoreUpdate::key);
            ASSERT_NE(a, held.items.end());
            EXPECT_EQ(a->value, "1");
        }
    }

    // Guards against an excerpt that makes its receiver complete, although it lacks the rest.
    TEST_F(StoreReplicaTest, ExcerptMakesNothingComplete)
    {
        StoreReplica source;
        source.merge(snapshot(10, { item("a", "1", 4), item("b", "1", 9) }), clock.now());
        const StoreDelta part = source.excerpt([](const StoreUpdate& each) { return each.key == "a"; }, clock.now());
        EXPECT_EQ(replica.merge(part, clock.now()).size(), 1U);
        EXPECT_EQ(replica.completeTo(), 0U);
        replica.merge(snapshot(8, { item("a", "1", 4) }), clock.now());
        EXPECT_EQ(replica.completeTo(), 8U);
        replica.merge(delta(8, 10, { item("b", "1", 9) }), clock.now());
        EXPECT_EQ(replica.completeTo(), 10U);
    }

    TEST_F(StoreReplicaTest, RequestOlderThanTheKeptRemovalsGetsASnapshot)
    {
        replica.merge(snapshot(10, { item("a", "1", 4), item("b", "1", 9) }), clock.now());
        replica.merge(delta(10, 11, { removal("b", 11) }), clock.now());
        EXPECT_FALSE(replica.deltaSince(10, clock.now()).isSnapshot);
        clock.advance(3min);
        replica.tick(clock.now());
        EXPECT_TRUE(replica.deltaSince(10, clock.now()).isSnapshot);
        EXPECT_FALSE(replica.deltaSince(11, clock.now()).isSnapshot);
    }

    // Guards against replicas that differ after receiving the same deltas in another order or repeatedly.
    TEST_F(StoreReplicaTest, AnyOrderOfDeltasGivesTheSameReplica)
    {
        for (std::uint32_t seed = 1; seed <= 200; ++seed) {
            SCOPED_TRACE(seed);
            std::mt19937 random(seed);
            std::vector<StoreDelta> changes;
            std::map<std::string, StoreUpdate> expected;
            for (std::uint64_t revision = 1; revision <= 60; ++revision) {
                const std::string key(1, static_cast<char>('a' + random() % 8));
                const bool isRemoval = expected.contains(key) && random() % 3 == 0;
                const StoreUpdate change
                    = isRemoval ? removal(key, revision) : item(key, std::to_string(revision), revision);
                changes.push_back(delta(revision - 1, revision, { change }));
                isRemoval ? static_cast<void>(expected.erase(key)) : static_cast<void>(expected[key] = change);
            }
            StoreReplica other;
            other.merge(snapshot(0, {}), clock.now());
            std::vector<StoreDelta> shuffled = changes;
            shuffled.insert(shuffled.end(), changes.begin(), changes.begin() + 20);
            std::ranges::shuffle(shuffled, random);
            std::uint64_t lastComplete = 0;
            for (const StoreDelta& change : shuffled) {
                other.merge(change, clock.now());
                EXPECT_GE(other.completeTo(), lastComplete);
                lastComplete = other.completeTo();
            }
            std::map<std::string, StoreUpdate> found;
            for (const StoreUpdate& held : other.deltaSince(0, clock.now()).items)
                found[held.key] = held;
            EXPECT_EQ(found, expected);
        }
    }

}

}
