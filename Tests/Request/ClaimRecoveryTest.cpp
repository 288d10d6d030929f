#include "ClaimTestHelpers.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

}

// Guards against a double run: new owners take keys as never sent after both holders of their claims failed.
TEST(ClaimProtocol, LossOfBothHoldersRefusesOldKeys)
{
    RunnerGroup group(4);
    group.settle({ 0, 1 });
    const RequestKey old = group.keyOf(0, 1);
    group.learn(group.makeTerm({ 2, 3 }), { 2, 3 });
    const auto onlyNew = [](std::size_t from, std::size_t to, const RequestMessage&) {
        return from >= 2 && to >= 2 ? RunnerGroup::Verdict::Deliver : RunnerGroup::Verdict::Drop;
    };
    const auto wait = [&](Duration time) {
        for (Duration passed {}; passed < time; passed += time / 20) {
            group.advance(time / 20);
            group.deliver(onlyNew);
        }
    };
    wait(seconds(2));
    const std::size_t owner = group[2].buckets().ownership(claimBucketOf(old.digest)) == Ownership::Active ? 2 : 3;
    {
        SCOPED_TRACE("a key chosen by the caller may have run");
        group.arrive(owner, old);
        group.deliver(onlyNew);
        EXPECT_EQ(group.takeRefusal(owner).reason, RefusalReason::ClaimsLost);
    }
    {
        SCOPED_TRACE("a ticket issued after the loss is accepted, one issued before it is refused");
        RequestKey ticket = old;
        ticket.issuedEpoch = 1;
        group.arrive(owner, ticket);
        ticket.issuedEpoch = 2;
        ticket.digest.low ^= 1;
        group.arrive(owner, ticket);
        group.deliver(onlyNew);
        EXPECT_EQ(group.take<StartWork>(owner).size(), 1u);
        EXPECT_EQ(group.takeRefusal(owner).reason, RefusalReason::ClaimsLost);
    }
    {
        SCOPED_TRACE("the loss does not expire while the lost holders may be acting");
        wait(seconds(2 * 3600));
        // The ticket's work had no answer by its deadline.
        EXPECT_EQ(group.takeRefusal(owner).reason, RefusalReason::DeadlinePassed);
        group.arrive(owner, old);
        group.deliver(onlyNew);
        EXPECT_EQ(group.takeRefusal(owner).reason, RefusalReason::ClaimsLost);
    }
    {
        SCOPED_TRACE("after one of the pair has terminated, the loss expires after the retention time");
        group[owner].learnTerminated(group.holder(0));
        wait(seconds(3500));
        group.arrive(owner, old);
        group.deliver(onlyNew);
        EXPECT_EQ(group.takeRefusal(owner).reason, RefusalReason::ClaimsLost);
        wait(seconds(1000));
        group.arrive(owner, old);
        group.deliver(onlyNew);
        EXPECT_EQ(group.take<StartWork>(owner).size(), 1u);
    }
}

// Guards against claims that stay lost although one of their holders is reachable again.
TEST(ClaimProtocol, ReturningHolderRestoresLostClaims)
{
    RunnerGroup group(3);
    group.settle({ 0, 1 });
    const RequestKey ran = group.keyOf(0, 1, "ran");
    const RequestKey fresh = group.keyOf(0, 1, "fresh");
    group.arrive(0, ran);
    group.deliver();
    ASSERT_EQ(group.take<StartWork>(0).size(), 1u);
    group.learn(group.makeTerm({ 2 }), { 2 });
    const auto nobody = [](std::size_t, std::size_t, const RequestMessage&) { return RunnerGroup::Verdict::Drop; };
    group.deliver(nobody);
    group.advance(seconds(2));
    group.deliver(nobody);
    group.arrive(2, fresh);
    EXPECT_GT(group[2].buckets().lostBuckets(), 0u);
    group.deliver(nobody);
    EXPECT_EQ(group.takeRefusal(2).reason, RefusalReason::ClaimsLost);

    group.advance(seconds(2));
    group.deliver(isolate(0));
    EXPECT_EQ(group[2].buckets().lostBuckets(), 0u);
    group.arrive(2, fresh);
    group.arrive(2, ran);
    group.deliver(isolate(0));
    EXPECT_EQ(group.take<StartWork>(2).size(), 1u);
    EXPECT_EQ(group.takeRefusal(2).reason, RefusalReason::InProgress);
}

// Guards against a double run: an outdated owner runs a ticket issued under an epoch that it doesn't know.
TEST(ClaimProtocol, TicketOfAnUnknownEpochWaits)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    RequestKey ticket = group.keyOf(0, 1);
    ticket.issuedEpoch = 2;
    group.arrive(0, ticket);
    group.deliver();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
    EXPECT_EQ(group.take<FetchTerm>(0).size(), 1u);
    group.advance(seconds(3));
    group.deliver();
    const Refusal refusal = group.takeRefusal(0);
    EXPECT_EQ(refusal.reason, RefusalReason::NotReady);
    EXPECT_EQ(refusal.executed, Executed::Unknown);
}

// Guards against a planned stop that cancels requests or loses their answers.
TEST(ClaimProtocol, LeavingOwnerFinishesItsWorkAndPassesOnTheAnswer)
{
    RunnerGroup group(3);
    group.settle({ 0, 1, 2 });
    const RequestKey key = group.keyOf(0, 1);
    group.arrive(0, key);
    group.deliver();
    const auto started = group.take<StartWork>(0);
    ASSERT_EQ(started.size(), 1u);

    group.learn(group.makeTerm({ 1, 2 }), { 0, 1, 2 });
    group.deliver();
    group.advance(milliseconds(1500));
    EXPECT_FALSE(group[0].mayStop(group.now()));
    group[0].workAnswered(started[0].work, answerOf("done"), group.now());
    group.deliver();
    EXPECT_EQ(group.take<AnswerAttempt>(0).size(), 1u);
    EXPECT_TRUE(group[0].mayStop(group.now()));

    const std::size_t owner = group[1].buckets().ownership(claimBucketOf(key.digest)) == Ownership::Active ? 1 : 2;
    group.arrive(owner, key);
    group.deliver();
    EXPECT_EQ(group.take<AnswerAttempt>(owner).size(), 1u);
}

// Guards against sending retries to a server that was just found unreachable.
TEST(ClaimProtocol, UnreachableServerIsPaused)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    group.arrive(0, group.keyOf(0, 1));
    group.deliver();
    const auto first = group.take<StartWork>(0);
    ASSERT_EQ(first.size(), 1u);
    group[0].workFailed(first[0].work, HttpFailureKind::NotSent, group.now());
    group.deliver();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
    group.advance(milliseconds(100));
    group.deliver();
    EXPECT_EQ(group.take<StartWork>(0).size(), 1u);
}

TEST(ClaimProtocol, RefusalsUnderOverloadShareAnEpochCheck)
{
    RunnerGroup group(2, {}, 2);
    group.settle({ 0, 1 });
    for (int i = 0; i < 50; ++i)
        group.arrive(0, group.keyOf(0, 1, "key-" + std::to_string(i)), milliseconds(1));
    std::size_t checks = 0;
    group.deliver([&](std::size_t, std::size_t, const RequestMessage& message) {
        checks += std::holds_alternative<CheckEpoch>(message);
        return RunnerGroup::Verdict::Deliver;
    });
    EXPECT_EQ(checks, 2u);
    const auto refusals = group.take<RefuseAttempt>(0);
    ASSERT_EQ(refusals.size(), 50u);
    std::set<seconds> times;
    for (const RefuseAttempt& refusal : refusals) {
        EXPECT_EQ(refusal.refusal.executed, Executed::No);
        times.insert(refusal.refusal.retryAfter);
    }
    EXPECT_GT(times.size(), 1u);
}

}
