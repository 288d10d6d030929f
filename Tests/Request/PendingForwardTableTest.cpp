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

// Symptom: a caller gets another caller's answer. Sequence: answers come late, twice, out of order, after a
// cancellation or to an earlier life of the balancer. Cause: matching answers by place in a line instead of by token.
TEST(PendingForwardTable, GivesEachAnswerToItsOwnTryOnly)
{
    ManualClock clock;
    PendingForwardTable book(self, milliseconds(300));
    std::vector<std::pair<AttemptId, ForwardToken>> open;
    for (AttemptId id = 1; id <= 100; ++id)
        open.emplace_back(id, book.open(id, keyOf(id), owner, clock.now() + seconds(5), clock.now()));
    std::shuffle(open.begin(), open.end(), std::mt19937_64(7));
    for (const auto& [id, token] : open) {
        const bool isCancelled = id % 10 == 0;
        if (isCancelled) {
            EXPECT_EQ(book.cancel(id)->token, token);
        }
        EXPECT_EQ(book.settle(owner, { token, keyOf(id + 1), 3, 3 }).delivery, Delivery::Drop);
        EXPECT_EQ(book.settle(BalancerInstance { { 3 }, 9 }, { token, keyOf(id), 3, 3 }).delivery, Delivery::Drop);
        EXPECT_EQ(book.settle(owner, { { { { 1 }, 4 }, token.number }, keyOf(id), 3, 3 }).delivery, Delivery::Drop);
        const PendingForwardTable::Settled settled = book.settle(owner, { token, keyOf(id), 3, 3 });
        EXPECT_EQ(settled.delivery, isCancelled ? Delivery::Drop : Delivery::Deliver);
        EXPECT_EQ(settled.id, isCancelled ? 0 : id);
        EXPECT_EQ(book.settle(owner, { token, keyOf(id), 3, 3 }).delivery, Delivery::Drop);
    }
    EXPECT_EQ(book.open(), 0u);
}

TEST(PendingForwardTable, TurnsACutAnswerIntoAnError)
{
    ManualClock clock;
    PendingForwardTable book(self, milliseconds(300));
    const ForwardToken token = book.open(1, keyOf(1), owner, clock.now() + seconds(5), clock.now());
    const PendingForwardTable::Settled settled = book.settle(owner, { token, keyOf(1), 1000, 999 });
    EXPECT_EQ(settled.delivery, Delivery::Incomplete);
    EXPECT_EQ(settled.id, 1u);
}

// Symptom: a caller waits until its deadline for a balancer that is dead. Cause: noticing it by the deadline only.
TEST(PendingForwardTable, GivesUpOnASilentOrDeadOwnerAtOnce)
{
    ManualClock clock;
    PendingForwardTable book(self, milliseconds(300));
    book.open(1, keyOf(1), owner, clock.now() + seconds(5), clock.now());
    const ForwardToken heard = book.open(2, keyOf(2), owner, clock.now() + seconds(5), clock.now());
    book.acknowledge(owner, heard);
    clock.advance(milliseconds(300));
    const auto silent = book.expire(clock.now());
    ASSERT_EQ(silent.size(), 1u);
    EXPECT_EQ(silent[0].id, 1u);
    const auto lost = book.removeOwner(owner);
    ASSERT_EQ(lost.size(), 1u);
    EXPECT_EQ(lost[0].id, 2u);
}

}
