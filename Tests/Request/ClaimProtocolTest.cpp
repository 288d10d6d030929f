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

TEST(ClaimProtocol, WorkGoesOutOnceItsClaimIsHeldTwice)
{
    RunnerGroup group(2);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);

    SCOPED_TRACE("nothing is sent before the backup's acknowledgement");
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
        SCOPED_TRACE("all get the whole answer, and so does a retry after the owner died");
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

// Symptom: work runs twice.
// Sequence: an owner is paused after it asked its backup; a new record names another owner, which runs the key; the old
// owner's message reaches the old backup late.
// Cause: the backup acknowledges a claim of an epoch that is over.
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

// Symptom: work runs long after its caller was refused.
// Sequence: an owner is paused after it asked its backup, and finds the acknowledgement when it wakes.
// Cause: sending hold looking at the clock again.
TEST(ClaimProtocol, OwnerThatWakesAfterTheDeadlineSendsNothing)
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

// Symptom: a key that nobody ran is refused as in progress after a planned change.
// Sequence: an owner waits for its backup's acknowledgement when the record changes; the acknowledgement comes late.
// Cause: handing a claim over that was never used, instead of the try.
TEST(ClaimProtocol, TryWhoseClaimWasNotHeldYetMovesToTheNewOwner)
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

// Symptom: work runs twice.
// Sequence: a new owner asks the old backup for claims and gets a copy; the old backup then acknowledges a claim of the
// old owner, before it has read the new record itself.
// Cause: handing a bucket over hold ceasing to act under the older epoch.
TEST(ClaimProtocol, WhoHandedABucketOverAcknowledgesNoMoreOldClaims)
{
    RunnerGroup group(4);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.learn(group.makeTerm({ 2, 3 }), { 2, 3 });
    // Balancer 1 hears of the new epoch only by being asked; balancer 0 hears nothing.
    group.deliver(isolate(0));
    group.advance(milliseconds(150));
    group.deliver(isolate(0));

    group.arrive(0, key);
    group.deliver();
    EXPECT_TRUE(group.take<StartWork>(0).empty());
}

// Symptom: a caller is told "not run" of a registration that was made.
// Sequence: an owner is cut off, a new one takes over and runs the key; the old one is overloaded, knows no record of
// the key, and refuses a retry. Cause: saying "not run" hold asking whether one still owns the key.
TEST(ClaimProtocol, ReplacedOwnerDoesNotSayNotRun)
{
    RunnerGroup group(3);
    group.settle({ 0, 1 });
    const RequestKey key = group.keyOf(0, 1);
    group.learn(group.makeTerm({ 1, 2 }), { 1, 2 });
    group.deliver(isolate(0));
    group.advance(milliseconds(150));
    group.deliver(isolate(0));

    // The news of the epoch is lost, so the backup's answer alone must do.
    group.arriveInvalid(0, key, RefusalReason::AbsurdDeadline);
    group.deliver(hold<TermUpdate>());
    EXPECT_EQ(group.takeRefusal(0).executed, Executed::Unknown);
}

// Symptom: "not run" of a key that runs a moment later.
// Sequence: a hopeless try is about to be refused; while the backup is asked, another try of the key comes and is sent.
// Cause: not looking at the key again when the backup's answer is there.
TEST(ClaimProtocol, TryThatComesWhileTheBackupIsAskedMakesTheRefusalUnknown)
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

// Symptom: "not run", and then the work runs after all.
// Sequence: a caller's first try is still on its way when the second one is refused; the first one arrives.
// Cause: forgetting the refusal as soon as it is given.
TEST(ClaimProtocol, RefusedKeyIsNotRunBeforeItsTimeToComeBack)
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

// Symptom: work runs twice.
// Sequence: the message that installs a bucket at its backup is repeated by the network after a claim was made.
// Cause: wiping the bucket out each time it is installed; the claim then lives at the owner alone.
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

// Symptom: work runs twice. Sequence: a claim is withdrawn and made anew; the withdrawal arrives after the new claim.
// Cause: withdrawing by key and not by claim.
TEST(ClaimProtocol, LateWithdrawalLeavesANewerClaim)
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
