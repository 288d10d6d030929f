#include "Forward/EntryValidation.h"

#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;
    using Action = EntryVerdict::Action;

    // The rows of the table in docs/design/entries-freshness-load.md, part 1.
    struct EntryValidationTest : testing::Test {
        RegisteredServer known = ForwardFixture::server(1);
        EntryFacts facts;
        EntryTimes times;

        EntryValidationTest()
        {
            known.startedAt = 2000;
            facts.known = &known;
        }

        EntryVerdict judge(const RegisteredServer& entry) const { return judgeEntry(entry, facts, times); }

        void expect(const RegisteredServer& entry, Action action, EntryReason reason) const
        {
            EXPECT_EQ(judge(entry).action, action);
            EXPECT_EQ(nameOf(judge(entry).reason), nameOf(reason));
        }
    };

    // Guards against entries of another writer that name a service which no operator has configured.
    TEST_F(EntryValidationTest, EntryOfAnUnnamedServiceIsHeldUnderAnyId)
    {
        facts.isServiceNamed = false;
        expect(known, Action::Suspend, EntryReason::ServiceNotNamed);
        EXPECT_EQ(judge(known).outcome, EntryOutcome::Held);
        facts.known = nullptr;
        expect(known, Action::Suspend, EntryReason::ServiceNotNamed);
    }

    TEST_F(EntryValidationTest, MissingStartTimeCountsAsAMissingFieldWhereOneIsExpected)
    {
        RegisteredServer entry = known;
        entry.startedAt = 0;
        expect(entry, Action::Suspend, EntryReason::StartTimeMissing);
        EXPECT_EQ(judge(entry).outcome, EntryOutcome::Rejected);
        {
            SCOPED_TRACE(
                "unless the server told none before; then the entry with a start time may be another writer's");
            facts.hasToldNoStartTime = true;
            expect(entry, Action::Hold, EntryReason::EarlierStart);
            facts.heldFor = 10s;
            expect(entry, Action::Restart, EntryReason::None);
            facts.isStartTimeExpected = true;
            expect(entry, Action::Suspend, EntryReason::StartTimeMissing);
            facts.isStartTimeExpected = false;
            facts.hasToldNoStartTime = false;
            facts.heldFor = {};
        }
        known.startedAt = 0;
        EXPECT_EQ(judge(entry), EntryVerdict {});
        facts.known = nullptr;
        EXPECT_EQ(judge(entry), EntryVerdict {});
        facts.isStartTimeExpected = true;
        expect(entry, Action::Suspend, EntryReason::StartTimeMissing);
    }

    TEST_F(EntryValidationTest, LaterStartIsARestart)
    {
        RegisteredServer entry = known;
        entry.startedAt = 3000;
        expect(entry, Action::Restart, EntryReason::None);
        facts.silentFor = 10ms;
        expect(entry, Action::Restart, EntryReason::None);
    }

    // Guards against requests of another service, and open flows at another address, because of an entry that the
    // living server is about to overwrite.
    TEST_F(EntryValidationTest, ServerMovesOnlyAfterItsFormerProcessIsSilent)
    {
        for (const bool isServiceChange : { true, false }) {
            SCOPED_TRACE(isServiceChange);
            const EntryReason reason = isServiceChange ? EntryReason::OtherService : EntryReason::OtherAddress;
            RegisteredServer entry = known;
            entry.startedAt = 3000;
            if (isServiceChange)
                entry.service = "scanintake";
            else
                entry.address.address += 1;
            facts = {};
            facts.known = &known;
            expect(entry, Action::Suspend, reason);
            facts.heldFor = 1999ms;
            facts.isConfirmed = true;
            expect(entry, Action::Suspend, reason);
            facts.heldFor = 2s;
            expect(entry, Action::Restart, EntryReason::None);
            facts.silentFor = 1999ms;
            expect(entry, Action::Suspend, reason);
            facts.silentFor = 2s;
            expect(entry, Action::Restart, EntryReason::None);
            {
                SCOPED_TRACE("the view of the store is not up to date");
                facts.isConfirmed = false;
                expect(entry, Action::Suspend, reason);
            }
            {
                SCOPED_TRACE("the same, where no entry has a start time");
                known.startedAt = 0;
                entry.startedAt = 0;
                expect(entry, Action::Suspend, reason);
                known.startedAt = 2000;
            }
        }
    }

    TEST_F(EntryValidationTest, EarlierStartIsHeldAsADelayedWrite)
    {
        RegisteredServer entry = known;
        entry.startedAt = 1000;
        expect(entry, Action::Hold, EntryReason::EarlierStart);
        facts.heldFor = 9999ms;
        expect(entry, Action::Hold, EntryReason::EarlierStart);
        facts.heldFor = 10s;
        expect(entry, Action::Restart, EntryReason::None);
    }

    TEST_F(EntryValidationTest, WriteOfAnEndedProcessIsHeld)
    {
        facts.hasEnded = true;
        expect(known, Action::Hold, EntryReason::FormerProcess);
        facts.heldFor = 10s;
        EXPECT_EQ(judge(known), EntryVerdict {});
    }

    // Guards against packets of a server that are routed to another one whose id stands for the same number.
    TEST_F(EntryValidationTest, NumberOfAnotherServerIsAContradiction)
    {
        facts.known = nullptr;
        facts.isNumberTaken = true;
        expect(known, Action::Hold, EntryReason::NumberInUse);
        EXPECT_EQ(judge(known).outcome, EntryOutcome::Contradicted);
    }

    // Two servers at one address; the newer one is present.
    struct AddressClaimTest : testing::Test {
        static constexpr TimePoint start { 1h };
        TimePoint now = start + 100s;
        AddressClaim former;
        AddressClaim newer;
        EntryTimes times;

        AddressClaimTest()
        {
            former.service = newer.service = "tryon";
            former.atAddressSince = start;
            former.atAddressRevision = 5;
            newer.atAddressSince = now;
            newer.atAddressRevision = 9;
            former.contestedSince = newer.contestedSince = now;
        }

        AddressVerdict judge() const { return judgeAddress(former, newer, now, times); }
    };

    TEST_F(AddressClaimTest, StartTimesDecideWhichClaimIsLater)
    {
        EXPECT_TRUE(isLaterClaim(former, newer));
        EXPECT_FALSE(isLaterClaim(newer, former));
        former.startedAt = 3000;
        EXPECT_TRUE(isLaterClaim(former, newer));
        newer.startedAt = 2000;
        EXPECT_FALSE(isLaterClaim(former, newer));
        EXPECT_TRUE(isLaterClaim(newer, former));
        {
            SCOPED_TRACE("without them both orders must agree");
            former.startedAt = newer.startedAt = 0;
            newer.atAddressRevision = 4;
            EXPECT_FALSE(isLaterClaim(former, newer));
            EXPECT_FALSE(isLaterClaim(newer, former));
        }
    }

    // Guards against resetting the flows of a live server because another writer's entry has its address.
    TEST_F(AddressClaimTest, FormerServerEndsOnlyWhenItsEntryIsGoneAndItIsSilent)
    {
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        former.presence = EntryPresence::Removed;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        former.isEntryGone = true;
        former.lastProgress = now - 1999ms;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        former.lastProgress = now - 2s;
        EXPECT_EQ(judge(), (AddressVerdict { true, false, true }));
    }

    TEST_F(AddressClaimTest, FormerServerWhoseEntryStandsTakesFlowsAgain)
    {
        now += 9999ms;
        former.lastProgress = now - 3s;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        now += 1ms;
        EXPECT_EQ(judge(), (AddressVerdict { false, true, false }));
        {
            SCOPED_TRACE("it is idle: its entry must be confirmed");
            former.lastProgress = TimePoint::min();
            newer.service = "scanintake";
            EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
            former.isConfirmed = true;
            EXPECT_EQ(judge(), (AddressVerdict { false, true, false }));
        }
        {
            SCOPED_TRACE("both are of one listing, so neither had the address first");
            newer.atAddressSince = former.atAddressSince;
            EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        }
    }

    // Guards against a server that gets no flows since the entry of the dead server at its address has not expired.
    TEST_F(AddressClaimTest, LaterServerOfOneListingIsUsedIfItsServiceIsTheSame)
    {
        newer.atAddressSince = former.atAddressSince;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, true }));
        former.lastProgress = now - 1s;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        newer.service = "scanintake";
        former.lastProgress = TimePoint::min();
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        newer.lastProgress = now - 1s;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, true }));
    }

    // Guards against another writer's entry with an earlier start time that takes a live server out of use.
    TEST_F(AddressClaimTest, ServerThatHadTheAddressFirstStaysInUse)
    {
        std::swap(former.atAddressSince, newer.atAddressSince);
        EXPECT_EQ(judge(), (AddressVerdict { false, false, true }));
        former.lastProgress = now;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
    }

    // Guards against requests of another service to a live server while its own entry is overwritten or missing.
    TEST_F(AddressClaimTest, LaterServerWithoutAnEntryBlocksTheAddressWhileItMayLive)
    {
        std::swap(former.atAddressSince, newer.atAddressSince);
        newer.presence = EntryPresence::Unusable;
        newer.presenceSince = now;
        EXPECT_TRUE(mayLive(newer, now + 10999ms, times));
        EXPECT_FALSE(mayLive(newer, now + 11s, times));
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        newer.presence = EntryPresence::Removed;
        EXPECT_TRUE(mayLive(newer, now, times));
        newer.isEntryGone = true;
        EXPECT_FALSE(mayLive(newer, now, times));
        newer.lastProgress = now - 1s;
        EXPECT_TRUE(mayLive(newer, now, times));
        {
            SCOPED_TRACE("a server that had the address first goes on at once when a foreign entry is removed");
            std::swap(former.atAddressSince, newer.atAddressSince);
            EXPECT_EQ(judge(), (AddressVerdict { false, true, false }));
        }
    }

    TEST_F(AddressClaimTest, EntryThatStaysUnreadableDoesNotBlockTheAddressForGood)
    {
        former.presence = EntryPresence::Unusable;
        former.presenceSince = now;
        now += 10999ms;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
        now += 1ms;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, true }));
        former.lastProgress = now - 1s;
        EXPECT_EQ(judge(), (AddressVerdict { false, false, false }));
    }

}

}
