#include "ClaimTestHelpers.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    template <typename Message> RunnerGroup::Filter hold()
    {
        return [](std::size_t, std::size_t, const RequestMessage& message) {
            return std::holds_alternative<Message>(message) ? RunnerGroup::Verdict::Hold
                                                            : RunnerGroup::Verdict::Deliver;
        };
    }

}

TEST(ClaimProtocol, WorkIsSentAfterTheBackupHoldsItsClaim)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);

    SCOPED_TRACE("no work is sent before the backup's acknowledgement");
    group.arrive(0, key);
    group.deliver(hold<ClaimReply>());
    EXPECT_TRUE(group.take<StartWork>(0).empty());
    group.releaseHeld();
    const auto started = group.take<StartWork>(0);
    ASSERT_EQ(started.size(), 1u);
    {
        SCOPED_TRACE("the same key joins the work, other content is refused");
        group.arrive(0, key);
        group[0].arrive(
            KeyedAttempt { 99, key, 8, testService(), group.now() + seconds(10), std::nullopt }, group.now());
        group.deliver();
        EXPECT_TRUE(group.take<StartWork>(0).empty());
        EXPECT_EQ(group.takeRefusal(0), (Refusal { RefusalReason::KeyReused, Executed::Unknown, seconds(0) }));
    }
    {
        SCOPED_TRACE("all attempts get the answer, also a retry after the owner failed");
        group[0].workAnswered(started[0].work, answerOf("done"), group.now());
        group.deliver();
        EXPECT_EQ(group.take<AnswerAttempt>(0).size(), 2u);
        group.learn(group.makeTerm({ 1 }), { 1 });
        group.arrive(1, key);
        group.deliver(isolate(0));
        group.advance(milliseconds(150));
        group.deliver(isolate(0));
        const auto answers = group.take<AnswerAttempt>(1);
        ASSERT_EQ(answers.size(), 1u);
        EXPECT_EQ(answers[0].answer->body, "done");
    }
}

// Guards against a double run: the backup acknowledges a delayed claim of an owner that was replaced while paused.
TEST(ClaimProtocol, BackupRefusesAnOwnerOfAnOlderEpoch)
{
    RunnerGroup group(3);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.arrive(0, key);
    group.deliver(hold<ClaimKey>());

    group.learn(group.makeTerm({ 1, 2 }), { 1, 2 });
    group.deliver(isolate(0));
    group.advance(milliseconds(150));
    group.deliver(isolate(0));

    group.releaseHeld();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
}

// Guards against work that is sent after its caller was refused, because the owner was paused before the
// acknowledgement.
TEST(ClaimProtocol, OwnerThatResumesAfterTheDeadlineSendsNothing)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.arrive(0, key, seconds(1));
    group.deliver(hold<ClaimReply>());
    group.pauseAll(seconds(30));
    group.releaseHeld();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
    EXPECT_EQ(group.takeRefusal(0).executed, Executed::No);
}

// Guards against refusing a key as in progress for a claim that was handed over but never used.
TEST(ClaimProtocol, AttemptWithoutAHeldClaimMovesToTheNewOwner)
{
    RunnerGroup group(4);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.arrive(0, key);
    group.deliver(hold<ClaimReply>());
    group.learn(group.makeTerm({ 2, 3 }), { 0, 1, 2, 3 });
    group.deliver();
    group.releaseHeld();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
    ASSERT_EQ(group.take<RedirectAttempt>(0).size(), 1u);
    const std::size_t owner = group[2].buckets().ownership(claimBucketOf(key.digest)) == Ownership::Active ? 2 : 3;
    group.arrive(owner, key);
    group.deliver();
    EXPECT_EQ(group.take<StartWork>(owner).size(), 1u);
}

// Guards against a double run: an old backup acknowledges a claim of the old owner after it sent its copy to the new
// one.
TEST(ClaimProtocol, HolderThatSentItsSnapshotRejectsOlderClaims)
{
    RunnerGroup group(4);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.learn(group.makeTerm({ 2, 3 }), { 2, 3 });
    // Balancer 1 learns of the new epoch only from the new owner's request; balancer 0 does not learn of it.
    group.deliver(isolate(0));
    group.advance(milliseconds(150));
    group.deliver(isolate(0));

    group.arrive(0, key);
    group.deliver();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
}

// Guards against a false "not run" by an owner that was replaced while partitioned.
TEST(ClaimProtocol, ReplacedOwnerDoesNotRefuseAsNotRun)
{
    RunnerGroup group(3);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.learn(group.makeTerm({ 1, 2 }), { 1, 2 });
    group.deliver(isolate(0));
    group.advance(milliseconds(150));
    group.deliver(isolate(0));

    // The newer record is lost, so only the backup's reply can prevent the false refusal.
    group.arriveInvalid(0, key, RefusalReason::AbsurdDeadline);
    group.deliver(hold<TermUpdate>());
    EXPECT_EQ(group.takeRefusal(0).executed, Executed::Unknown);
}

// Guards against a false "not run" when another attempt starts the key during the epoch check.
TEST(ClaimProtocol, AttemptDuringTheEpochCheckMakesTheRefusalUnknown)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.arriveInvalid(0, key, RefusalReason::AbsurdDeadline);
    group.deliver(hold<EpochChecked>());
    group.arrive(0, key);
    group.deliver(hold<EpochChecked>());
    ASSERT_EQ(group.take<StartWork>(0).size(), 1u);
    group.releaseHeld();
    EXPECT_EQ(group.takeRefusal(0).executed, Executed::Unknown);
}

// Guards against running a delayed attempt after its key was refused as not run.
TEST(ClaimProtocol, RefusedKeyIsNotRunBeforeItsRetryTime)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.arrive(0, key, milliseconds(1));
    group.deliver();
    const Refusal first = group.takeRefusal(0);
    EXPECT_EQ(first.executed, Executed::No);
    ASSERT_GE(first.retryAfter, seconds(1));

    group.advance(milliseconds(100));
    group.arrive(0, key);
    group.deliver();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
    const Refusal again = group.takeRefusal(0);
    EXPECT_EQ(again.reason, RefusalReason::ComeBackLater);
    EXPECT_EQ(again.executed, Executed::No);

    group.advance(first.retryAfter);
    group.arrive(0, key);
    group.deliver();
    EXPECT_EQ(group.take<StartWork>(0).size(), 1u);
}

// Guards against a double run: a repeated InstallBucket deletes a claim that was made after the first one.
TEST(ClaimProtocol, RepeatedInstallKeepsLaterClaims)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.arrive(0, key);
    group.deliver();
    ASSERT_EQ(group.take<StartWork>(0).size(), 1u);
    group[1].receive(group.holder(0), InstallBucket { 1, claimBucketOf(key.digest), 0, true, {} }, group.now());

    group.learn(group.makeTerm({ 1 }), { 1 });
    group.deliver(isolate(0));
    group.advance(milliseconds(150));
    group.arrive(1, key);
    group.deliver(isolate(0));
    EXPECT_TRUE(group.take<StartWork>(1).empty());
    EXPECT_EQ(group.takeRefusal(1).reason, RefusalReason::InProgress);
}

// Guards against a double run: a late withdrawal of an earlier claim deletes a newer claim of the same key.
TEST(ClaimProtocol, LateWithdrawalKeepsANewerClaim)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group[0].cancel(group.arrive(0, key), group.now());
    group.deliver(hold<WithdrawClaim>());
    group.arrive(0, key);
    group.deliver();
    ASSERT_EQ(group.take<StartWork>(0).size(), 1u);
    group.releaseHeld();
    EXPECT_TRUE(group[1].buckets().table().find(claimBucketOf(key.digest), key.digest));
}
}
