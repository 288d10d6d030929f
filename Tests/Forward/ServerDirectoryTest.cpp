#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct ServerDirectoryTest : testing::Test {
        ManualClock clock;
        ServerDirectory directory;

        static RegisteredServer server(std::uint64_t number, std::uint32_t host = 0)
        {
            return ForwardFixture::server(number, "tryon", "walu", host);
        }

        ServerState stateOf(const RegisteredServer& entry) { return directory.find(entry.id)->state; }
    };

    TEST_F(ServerDirectoryTest, aServerLivesFromItsFirstEntryToItsLast)
    {
        RegisteredServer entry = server(1);
        {
            SCOPED_TRACE("it registers");
            const auto transitions = directory.put(entry, 5, clock.now());
            ASSERT_EQ(transitions.size(), 1U);
            EXPECT_TRUE(transitions.front().isNew);
            EXPECT_EQ(directory.serversOf("tryon").size(), 1U);
        }
        {
            SCOPED_TRACE("it drains: it keeps its flows and takes no new ones");
            entry.readiness = ServerReadiness::Draining;
            directory.put(entry, 6, clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Draining);
            EXPECT_FALSE(directory.find(entry.id)->mayTakeFlows());
            EXPECT_NE(directory.findByToken(tokenOf(entry.number)), nullptr);
        }
        {
            SCOPED_TRACE("it leaves, and its token stays known for as long as flows last");
            directory.remove(entry.id, true, clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Gone);
            clock.advance(74s);
            directory.tick(clock.now());
            EXPECT_NE(directory.findByToken(tokenOf(entry.number)), nullptr);
            clock.advance(2s);
            directory.tick(clock.now());
            EXPECT_EQ(directory.findByToken(tokenOf(entry.number)), nullptr);
            EXPECT_EQ(directory.size(), 0U);
        }
    }

    // Symptom: after an outage of the store, balancers reset or avoided servers that were in good health.
    // Sequence: the store is away, entries lapse, the store is back, and the servers register anew a second later.
    // Cause: an entry that vanished was taken for a server that left.
    TEST_F(ServerDirectoryTest, aServerWhoseEntryLapsedInAnOutageIsDoubtfulForTwoSeconds)
    {
        const RegisteredServer back = server(1);
        const RegisteredServer lost = server(2);
        directory.put(back, 5, clock.now());
        directory.put(lost, 6, clock.now());
        directory.remove(back.id, true, clock.now());
        directory.remove(lost.id, true, clock.now());
        EXPECT_EQ(stateOf(back), ServerState::Doubtful);
        EXPECT_TRUE(directory.find(back.id)->mayTakeFlows());

        clock.advance(1500ms);
        directory.put(back, 20, clock.now());
        directory.noteStoreContact(clock.now());
        clock.advance(600ms);
        directory.tick(clock.now());
        EXPECT_EQ(stateOf(back), ServerState::Ready);
        EXPECT_EQ(stateOf(lost), ServerState::Gone);
        EXPECT_FALSE(directory.find(lost.id)->mayTakeFlows());
    }

    // Symptom: a zone served almost nobody although its servers were well (a tenth of two windows' requests).
    // Sequence: the store is away and all entries lapse; it is back and says so; then the zone is cut off from it.
    // Cause: doubts ended after two seconds, although nothing was heard that could have said that servers are back.
    TEST_F(ServerDirectoryTest, doubtLastsForAsLongAsTheStoreIsNotHeard)
    {
        const RegisteredServer entry = server(1);
        directory.put(entry, 5, clock.now());
        directory.noteStoreContact(clock.now());
        directory.remove(entry.id, true, clock.now());
        clock.advance(500ms);
        directory.noteStoreContact(clock.now());
        clock.advance(5s);
        directory.tick(clock.now());
        EXPECT_EQ(stateOf(entry), ServerState::Doubtful);
        {
            SCOPED_TRACE("the store is heard again and does not name it");
            directory.noteStoreContact(clock.now());
            directory.tick(clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Gone);
        }
        {
            SCOPED_TRACE("a store that is never heard again does not keep it forever");
            directory.put(server(2), 30, clock.now());
            directory.remove(server(2).id, true, clock.now());
            clock.advance(11s);
            directory.tick(clock.now());
            EXPECT_EQ(stateOf(server(2)), ServerState::Gone);
        }
    }

    TEST_F(ServerDirectoryTest, withoutDoubtAVanishedEntryMeansGoneAtOnce)
    {
        directory.put(server(1), 5, clock.now());
        directory.remove(server(1).id, false, clock.now());
        EXPECT_EQ(stateOf(server(1)), ServerState::Gone);
        EXPECT_TRUE(directory.serversOf("tryon").empty());
    }

    // Symptom: callers of a server that died waited until their time was over.
    // Sequence: a server dies silently, its address goes to another one, and the dead one's entry is still there.
    // Cause: only a vanished entry counted as the end of a server.
    TEST_F(ServerDirectoryTest, aNewEntryAtAnAddressEndsTheFormerIncarnation)
    {
        const RegisteredServer former = server(1, 7);
        const RegisteredServer next = server(2, 7);
        directory.put(former, 5, clock.now());
        clock.advance(3s);
        directory.put(next, 9, clock.now());
        EXPECT_EQ(stateOf(former), ServerState::Ended);
        EXPECT_EQ(stateOf(next), ServerState::Ready);
        {
            SCOPED_TRACE("a write of the former one that takes effect late changes nothing");
            clock.advance(1s);
            EXPECT_TRUE(directory.put(former, 12, clock.now()).empty());
            EXPECT_EQ(stateOf(former), ServerState::Ended);
            EXPECT_EQ(stateOf(next), ServerState::Ready);
        }
        {
            SCOPED_TRACE("and again when the address moves on");
            clock.advance(3s);
            const RegisteredServer third = server(3, 7);
            directory.put(third, 30, clock.now());
            EXPECT_EQ(stateOf(next), ServerState::Ended);
            EXPECT_EQ(stateOf(third), ServerState::Ready);
        }
    }

    // Symptom: open flows of a living server were reset (FLOW broken on a day of restarts while the store did writes
    // late). Sequence: a server is killed while a write of its entry is under way; the next process at its address
    // registers; then the write of the former one takes effect, with a higher revision than the entry of the living
    // one. Cause: of two entries at an address, the one that was written last was taken for the living process's.
    TEST_F(ServerDirectoryTest, whoseProcessIsOverIsNotConcludedFromTheOrderOfWritesAlone)
    {
        const RegisteredServer dead = server(1, 7);
        const RegisteredServer living = server(2, 7);
        const auto expectLiving = [&] {
            EXPECT_EQ(stateOf(living), ServerState::Ready);
            EXPECT_TRUE(directory.find(living.id)->mayTakeFlows());
        };
        {
            SCOPED_TRACE("who starts reads both at once");
            directory.put(living, 71, clock.now());
            directory.put(dead, 90, clock.now());
            expectLiving();
        }
        {
            SCOPED_TRACE("who never knew the dead one learns of it last, while the living one answers");
            directory = ServerDirectory();
            directory.put(living, 71, clock.now());
            clock.advance(4s);
            directory.find(living.id)->seen.lastProgress = clock.now() - 1s;
            directory.put(dead, 90, clock.now());
            expectLiving();
        }
        {
            SCOPED_TRACE("the news of both comes in the wrong order");
            directory = ServerDirectory();
            directory.put(living, 71, clock.now());
            clock.advance(1s);
            directory.put(dead, 57, clock.now());
            expectLiving();
        }
        {
            SCOPED_TRACE("where entries tell when their processes started, that decides");
            directory = ServerDirectory();
            RegisteredServer earlier = dead;
            RegisteredServer later = living;
            earlier.startedAt = 1000;
            later.startedAt = 2000;
            directory.put(later, 71, clock.now());
            directory.put(earlier, 90, clock.now());
            expectLiving();
            EXPECT_EQ(stateOf(earlier), ServerState::Ended);
        }
    }

    // Symptom: packets of one flow would reach another server of the same service.
    // Sequence: two incarnations have the same token, which happens about once in four billion pairs.
    // Cause: a token names one server only.
    TEST_F(ServerDirectoryTest, ofTwoServersWithOneTokenOnlyOneTakesFlows)
    {
        // Folding the halves of the number onto each other gives both the token 3.
        const RegisteredServer first = server(0x0000000000000003);
        const RegisteredServer second = server(0x0000000100000002);
        ASSERT_EQ(tokenOf(first.number), tokenOf(second.number));
        {
            SCOPED_TRACE("balancers that learn of them in different orders agree on the smaller id");
            for (const bool isFirstFirst : { true, false }) {
                ServerDirectory other;
                other.put(isFirstFirst ? first : second, 5, clock.now());
                other.put(isFirstFirst ? second : first, 6, clock.now());
                EXPECT_TRUE(other.find(first.id)->mayTakeFlows());
                EXPECT_FALSE(other.find(second.id)->mayTakeFlows());
                EXPECT_EQ(other.findByToken(tokenOf(first.number))->entry.id, first.id);
            }
        }
        {
            SCOPED_TRACE("one that is gone keeps the token while its flows may be open");
            directory.put(second, 5, clock.now());
            directory.remove(second.id, false, clock.now());
            directory.put(first, 6, clock.now());
            EXPECT_EQ(directory.findByToken(tokenOf(first.number))->entry.id, second.id);
            EXPECT_FALSE(directory.find(first.id)->mayTakeFlows());
        }
    }

    // Symptom: a server that had started again got no flows, or only trial flows, for up to 4 s.
    // Sequence: it crashes, balancers leave it out as silent, it starts again under its id and registers.
    // Cause: what was seen of the former process was held against the new one.
    TEST_F(ServerDirectoryTest, aServerThatStartsAgainUnderItsIdIsAnotherProcess)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 1000;
        directory.put(entry, 5, clock.now());
        KnownServer& known = *directory.find(entry.id);
        const auto spoil = [&] {
            known.seen.failures = 3;
            known.seen.flows = 7;
            known.seen.busy = 2;
            known.seen.ejectedUntil = clock.now() + 4s;
            known.seen.outcomes.note(false, clock.now());
            known.seen.isFailing = true;
        };
        const auto expectNew = [&](const ServerDirectory::Transitions& transitions) {
            ASSERT_FALSE(transitions.empty());
            EXPECT_TRUE(transitions.front().isRestart);
            EXPECT_EQ(known.seen.failures, 0U);
            EXPECT_EQ(known.seen.flows, 0U);
            EXPECT_EQ(known.seen.ejectedUntil, TimePoint::min());
            EXPECT_EQ(known.seen.outcomes.failingShare(clock.now()), 0);
            EXPECT_FALSE(known.seen.isFailing);
            EXPECT_TRUE(known.mayTakeFlows());
            EXPECT_EQ(directory.serversOf(entry.service).size(), 1U);
        };
        spoil();
        {
            SCOPED_TRACE("a further entry of the same process changes nothing of this");
            directory.put(entry, 6, clock.now());
            EXPECT_EQ(known.seen.failures, 3U);
        }
        {
            SCOPED_TRACE("while it takes flows");
            entry.startedAt = 2000;
            expectNew(directory.put(entry, 7, clock.now()));
        }
        {
            SCOPED_TRACE("while it drains");
            entry.readiness = ServerReadiness::Draining;
            directory.put(entry, 8, clock.now());
            spoil();
            entry.readiness = ServerReadiness::Ready;
            entry.startedAt = 3000;
            expectNew(directory.put(entry, 9, clock.now()));
        }
        {
            SCOPED_TRACE("in doubt, and after it was gone");
            directory.remove(entry.id, true, clock.now());
            spoil();
            entry.startedAt = 4000;
            expectNew(directory.put(entry, 10, clock.now()));
            directory.remove(entry.id, false, clock.now());
            spoil();
            entry.startedAt = 5000;
            expectNew(directory.put(entry, 11, clock.now()));
        }
        {
            SCOPED_TRACE("after its address went to another, at another address, and twice within a heartbeat");
            clock.advance(3s);
            directory.put(server(2, 1), 12, clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Ended);
            spoil();
            entry.startedAt = 6000;
            entry.address.address += 100;
            entry.service = "scanintake";
            expectNew(directory.put(entry, 13, clock.now()));
            EXPECT_TRUE(known.hasChangedService);
            entry.startedAt = 6001;
            expectNew(directory.put(entry, 14, clock.now()));
            EXPECT_TRUE(directory.serversOf("tryon").size() == 1);
        }
    }

    // Symptom: after a restart a server was taken for draining, for as long as until its next heartbeat.
    // Sequence: a write of the former process takes effect after the new one has registered.
    // Cause: the store's order of writes was taken for the order of the processes.
    TEST_F(ServerDirectoryTest, anEntryOfAnEarlierStartNeverTakesALaterOneBack)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 2000;
        directory.put(entry, 5, clock.now());
        RegisteredServer earlier = entry;
        earlier.startedAt = 1000;
        earlier.readiness = ServerReadiness::Draining;
        EXPECT_TRUE(directory.put(earlier, 6, clock.now()).empty());
        EXPECT_EQ(stateOf(entry), ServerState::Ready);
        RegisteredServer untold = earlier;
        untold.startedAt = 0;
        EXPECT_TRUE(directory.put(untold, 7, clock.now()).empty());
        EXPECT_EQ(directory.find(entry.id)->entry.startedAt, 2000U);
        {
            SCOPED_TRACE("but a server whose clock was set back between two starts is not lost for good");
            clock.advance(10s);
            EXPECT_FALSE(directory.put(earlier, 8, clock.now()).empty());
            EXPECT_EQ(directory.find(entry.id)->entry.startedAt, 1000U);
        }
    }

    // Symptom: flows went on to a server whose entry another writer had spoilt.
    // Cause: the last entry that could be read stayed in use.
    TEST_F(ServerDirectoryTest, anEntryThatCannotBeUsedNamesNoServerAndItsFlowsStay)
    {
        const RegisteredServer entry = server(1);
        directory.put(entry, 5, clock.now());
        directory.put(server(2), 6, clock.now());
        EXPECT_EQ(directory.invalidate(entry.id, 7, clock.now()).size(), 1U);
        EXPECT_FALSE(directory.find(entry.id)->mayTakeFlows());
        EXPECT_EQ(directory.serversOf("tryon").size(), 1U);
        EXPECT_EQ(directory.findByToken(tokenOf(entry.number))->state, ServerState::Gone);
        EXPECT_TRUE(directory.invalidate("i-unknown", 8, clock.now()).empty());
        {
            SCOPED_TRACE("until its own next entry");
            directory.put(entry, 9, clock.now());
            EXPECT_TRUE(directory.find(entry.id)->mayTakeFlows());
        }
    }

    TEST_F(ServerDirectoryTest, tokensAreNeverZero)
    {
        EXPECT_EQ(tokenOf(0), 1U);
        EXPECT_EQ(tokenOf(0x0000000500000005), 1U);
        EXPECT_EQ(tokenOf(0x7F3A91C2), 0x7F3A91C2U);
    }

}

}
