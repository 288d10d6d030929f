#include "Request/TermReconciler.h"
#include "Request/BucketRecovery.h"
#include "Request/ClaimTable.h"

#include <gtest/gtest.h>

namespace wisteriadock::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    Member serving(const std::string& name, std::uint64_t incarnation = 1)
    {
        Member member;
        member.id = balancerIdOf(name);
        member.availabilityZone = "walu";
        member.incarnation = incarnation;
        member.state = MemberState::Serving;
        return member;
    }

    MembersView viewOf(std::vector<Member> members)
    {
        MembersView view;
        view.members = std::move(members);
        return view;
    }

    class TermReconcilerTest : public ::testing::Test {
    public:
        template <typename Action> std::vector<Action> take()
        {
            std::vector<Action> taken;
            for (const TermAction& action : reconciler.takeActions()) {
                if (const auto* wanted = std::get_if<Action>(&action))
                    taken.push_back(*wanted);
            }
            return taken;
        }

        void advance(Duration time)
        {
            clock.advance(time);
            reconciler.tick(clock.now());
        }

        TermReconciler reconciler { "walu", balancerIdOf("a"), {} };
        ManualClock clock;
    };

    BucketSnapshot copyAt(std::uint64_t installedEpoch) { return { 9, 0, installedEpoch, {} }; }

}

TEST_F(TermReconcilerTest, ReadsTheRecordAfterAWriteWithoutReply)
{
    reconciler.learnMembers(viewOf({ serving("a"), serving("b") }), clock.now());
    advance(seconds(1));
    ASSERT_EQ(take<ReadTerm>().size(), 1u);
    reconciler.learnAbsent(clock.now());
    advance(seconds(1));
    const auto first = take<WriteTerm>();
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].baseRevision, 0u);
    EXPECT_EQ(first[0].term.epoch, 1u);

    SCOPED_TRACE("after a lost reply the record is read and adopted");
    reconciler.writeEnded(TermWrite::Unknown, 0, clock.now());
    ASSERT_EQ(take<ReadTerm>().size(), 1u);
    reconciler.learnRecord(first[0].term, 1, clock.now());
    EXPECT_EQ(take<AdoptTerm>().size(), 1u);
    advance(seconds(10));
    EXPECT_TRUE(take<WriteTerm>().empty());
}

// Guards against reusing an epoch after the platform was restored from a backup.
TEST_F(TermReconcilerTest, NeverReturnsToAnEarlierEpoch)
{
    const std::vector<BalancerInstance> holders { { balancerIdOf("a"), 1 }, { balancerIdOf("b"), 1 } };
    reconciler.learnRecord({ "walu", 7, holders, {}, true }, 30, clock.now());
    reconciler.learnRecord({ "walu", 4, holders, {}, true }, 12, clock.now());
    EXPECT_EQ(reconciler.term()->epoch, 7u);
    reconciler.learnMembers(viewOf({ serving("a"), serving("b", 2) }), clock.now());
    advance(seconds(1));
    const auto write = take<WriteTerm>();
    ASSERT_EQ(write.size(), 1u);
    EXPECT_EQ(write[0].term.epoch, 8u);
    EXPECT_EQ(write[0].baseRevision, 12u);
}

// Guards against two owners of one bucket: the platform loses a record that a balancer has adopted, and another
// balancer, which knows only the one before, gives its epoch to other holders.
TEST_F(TermReconcilerTest, EpochOfALostRecordIsNotGivenOutAgain)
{
    const std::vector<BalancerInstance> holders { { balancerIdOf("a"), 1 }, { balancerIdOf("b"), 1 } };
    const ClaimTerm lost { "walu", 5, holders, {}, true };
    reconciler.learnRecord({ "walu", 4, holders, {}, true }, 12, clock.now());
    reconciler.learnMembers(viewOf({ serving("a"), serving("b", 2) }), clock.now());
    reconciler.learnEra(1);
    advance(seconds(1));
    {
        SCOPED_TRACE("the revision of before may stand for another record, so it is read first");
        ASSERT_EQ(take<ReadTerm>().size(), 1u);
        reconciler.learnRecord({ "walu", 4, holders, {}, true }, 12, clock.now());
        advance(seconds(1));
    }
    const auto write = take<WriteTerm>();
    ASSERT_EQ(write.size(), 1u);
    EXPECT_GT(write[0].term.epoch, lost.epoch);
    EXPECT_FALSE(write[0].term.isHistoryComplete);
    reconciler.writeEnded(TermWrite::Written, 13, clock.now());
    {
        SCOPED_TRACE("the balancer that had adopted the lost record takes this one");
        TermReconciler other { "walu", balancerIdOf("b"), {} };
        other.learnRecord(lost, 13, clock.now());
        other.learnFromPeer(write[0].term, clock.now());
        EXPECT_EQ(other.term(), write[0].term);
    }
    {
        SCOPED_TRACE("later epochs follow it");
        reconciler.learnMembers(viewOf({ serving("a"), serving("b", 3) }), clock.now());
        advance(seconds(1));
        EXPECT_EQ(take<WriteTerm>().at(0).term.epoch, write[0].term.epoch + 1);
    }
}

TEST_F(TermReconcilerTest, IgnoresShortOutagesAndIsolation)
{
    reconciler.learnRecord(
        { "walu", 1, { { balancerIdOf("a"), 1 }, { balancerIdOf("b"), 1 } }, {}, true }, 1, clock.now());
    const MembersView both = viewOf({ serving("a"), serving("b") });
    MembersView alone = viewOf({ serving("a") });
    reconciler.learnMembers(alone, clock.now());
    advance(milliseconds(200));
    reconciler.learnMembers(both, clock.now());
    advance(seconds(5));
    EXPECT_TRUE(take<WriteTerm>().empty());
    alone.isolated = true;
    reconciler.learnMembers(alone, clock.now());
    advance(seconds(5));
    EXPECT_TRUE(take<WriteTerm>().empty());
}

// Guards against a double run: an older copy is taken as complete while the holders of the newest epoch don't answer.
TEST(BucketRecovery, OlderCopyIsIncompleteWhileANewerOneMayExist)
{
    const BalancerInstance a { { 1 }, 1 };
    const BalancerInstance b { { 2 }, 1 };
    const BalancerInstance c { { 3 }, 1 };
    const BalancerInstance d { { 4 }, 1 };
    const std::vector<ClaimPair> pairs { { 8, a, b }, { 7, c, d } };
    const TimePoint start(seconds(100));
    TerminatedInstances terminated;
    const auto decide = [&](BucketRecovery& recovery) { return recovery.decide(terminated, start + seconds(2)); };
    {
        SCOPED_TRACE("no holder of the newest pair answers");
        BucketRecovery recovery(pairs, true, 9, start);
        recovery.add(c, copyAt(7));
        EXPECT_EQ(recovery.decide(terminated, start), RecoveryState::Waiting);
        EXPECT_EQ(decide(recovery), RecoveryState::Lost);
        EXPECT_FALSE(recovery.allStopped());
        ASSERT_TRUE(recovery.source());
        terminated.learnTerminated(b);
        EXPECT_EQ(decide(recovery), RecoveryState::Lost);
        EXPECT_TRUE(recovery.allStopped());
    }
    {
        SCOPED_TRACE("one holder reports that the epoch never became active");
        BucketRecovery recovery(pairs, true, 9, start);
        recovery.add(c, copyAt(7));
        recovery.add(b, copyAt(5));
        EXPECT_EQ(decide(recovery), RecoveryState::Complete);
    }
    {
        SCOPED_TRACE("a copy installed after the loss is ignored");
        BucketRecovery recovery(pairs, true, 9, start);
        recovery.add(a, copyAt(9));
        recovery.add(c, copyAt(7));
        EXPECT_EQ(decide(recovery), RecoveryState::Lost);
    }
}

TEST(ClaimTable, IsBoundedAndReportsRemovedClaims)
{
    ClaimTable table({ 3, 100, 50, seconds(3600) });
    const TimePoint start(seconds(100));
    const auto record = [&](std::uint64_t issuedEpoch, const std::string& body) {
        const auto answer = std::make_shared<HttpResponse>(HttpResponse { 200, {}, body });
        return ClaimRecord { 0, issuedEpoch, 1, {}, start, ClaimState::Answered, answer };
    };
    const auto key = [](std::uint64_t number, std::uint64_t epoch) {
        return RequestKey { { number, number }, 0, epoch };
    };
    EXPECT_TRUE(table.put(0, { 1, 1 }, record(4, std::string(40, 'a'))));
    EXPECT_TRUE(table.put(0, { 2, 2 }, record(0, std::string(60, 'b'))));
    EXPECT_TRUE(table.put(0, { 3, 3 }, record(5, "c")));
    EXPECT_FALSE(table.put(0, { 4, 4 }, record(0, "d")));
    EXPECT_TRUE(table.find(0, { 1, 1 })->answer);
    EXPECT_FALSE(table.find(0, { 2, 2 })->answer);
    EXPECT_EQ(table.answerBytes(), 41u);

    for (std::uint32_t i = 0; i < claimBucketCount; ++i)
        table.expire(5, start + seconds(3600));
    EXPECT_EQ(table.size(), 1u);
    EXPECT_TRUE(table.mayHaveExpired(0, key(1, 4)));
    EXPECT_FALSE(table.mayHaveExpired(0, key(9, 5)));
    EXPECT_FALSE(table.mayHaveExpired(0, key(2, 0)));
    EXPECT_EQ(table.answerBytes(), 1u);
}

}
