#include "Request/PendingForwardTable.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace wisteriadock::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const BalancerInstance self { { 1 }, 5 };
    const BalancerInstance owner { { 2 }, 9 };

    KeyDigest keyOf(std::uint64_t number) { return { number, number }; }

}

// Guards against delivering an answer to another attempt when answers are late, repeated, reordered, or meant for a
// cancelled attempt or an earlier incarnation.
TEST(PendingForwardTable, DeliversEachAnswerToItsOwnAttempt)
{
    ManualClock clock;
    PendingForwardTable forwards(self, milliseconds(300));
    std::vector<std::pair<AttemptId, ForwardToken>> open;
    for (AttemptId id = 1; id <= 100; ++id)
        open.emplace_back(id, forwards.open(id, keyOf(id), owner, clock.now() + seconds(5), clock.now()));
    std::shuffle(open.begin(), open.end(), std::mt19937_64(7));
    for (const auto& [id, token] : open) {
        const bool isCancelled = id % 10 == 0;
        if (isCancelled) {
            EXPECT_EQ(forwards.cancel(id)->token, token);
        }
        EXPECT_EQ(forwards.resolve(owner, { token, keyOf(id + 1), 3, 3 }).delivery, Delivery::Drop);
        EXPECT_EQ(forwards.resolve(BalancerInstance { { 3 }, 9 }, { token, keyOf(id), 3, 3 }).delivery, Delivery::Drop);
        EXPECT_EQ(
            forwards.resolve(owner, { { { { 1 }, 4 }, token.number }, keyOf(id), 3, 3 }).delivery, Delivery::Drop);
        const PendingForwardTable::Resolved resolved = forwards.resolve(owner, { token, keyOf(id), 3, 3 });
        EXPECT_EQ(resolved.delivery, isCancelled ? Delivery::Drop : Delivery::Deliver);
        EXPECT_EQ(resolved.id, isCancelled ? 0 : id);
        EXPECT_EQ(forwards.resolve(owner, { token, keyOf(id), 3, 3 }).delivery, Delivery::Drop);
    }
    EXPECT_EQ(forwards.open(), 0u);
}

TEST(PendingForwardTable, ReportsATruncatedAnswer)
{
    ManualClock clock;
    PendingForwardTable forwards(self, milliseconds(300));
    const ForwardToken token = forwards.open(1, keyOf(1), owner, clock.now() + seconds(5), clock.now());
    const PendingForwardTable::Resolved resolved = forwards.resolve(owner, { token, keyOf(1), 1000, 999 });
    EXPECT_EQ(resolved.delivery, Delivery::Incomplete);
    EXPECT_EQ(resolved.id, 1u);
}

// Guards against waiting until the request's deadline for a dead owner.
TEST(PendingForwardTable, AbandonsForwardsToUnresponsiveOrDeadOwners)
{
    ManualClock clock;
    PendingForwardTable forwards(self, milliseconds(300));
    forwards.open(1, keyOf(1), owner, clock.now() + seconds(5), clock.now());
    const ForwardToken acknowledged = forwards.open(2, keyOf(2), owner, clock.now() + seconds(5), clock.now());
    forwards.acknowledge(owner, acknowledged);
    clock.advance(milliseconds(300));
    const auto unacknowledged = forwards.expire(clock.now());
    ASSERT_EQ(unacknowledged.size(), 1u);
    EXPECT_EQ(unacknowledged[0].id, 1u);
    const auto lost = forwards.removeOwner(owner);
    ASSERT_EQ(lost.size(), 1u);
    EXPECT_EQ(lost[0].id, 2u);
}

}
