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

    TEST_F(ServerDirectoryTest, ServerLifecycle)
    {
        RegisteredServer entry = server(1);
        {
            SCOPED_TRACE("the server registers");
            const auto transitions = directory.put(entry, 5, clock.now());
            ASSERT_EQ(transitions.size(), 1U);
            EXPECT_TRUE(transitions.front().isNew);
            EXPECT_EQ(directory.serversOf("tryon").size(), 1U);
        }
        {
            SCOPED_TRACE("the server drains: it keeps its flows and takes no new ones");
            entry.readiness = ServerReadiness::Draining;
            directory.put(entry, 6, clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Draining);
            EXPECT_FALSE(directory.find(entry.id)->mayTakeFlows());
            EXPECT_NE(directory.findByToken(tokenOf(entry.number)), nullptr);
        }
        {
            SCOPED_TRACE("the entry is removed, and the token stays known for as long as flows last");
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

    // Guards against avoiding healthy servers whose entries expired during an outage of the store and reappear after
    // it.
    TEST_F(ServerDirectoryTest, ServerWhoseEntryExpiredInAnOutageIsDoubtfulForTwoSeconds)
    {
        const RegisteredServer reappearing = server(1);
        const RegisteredServer lost = server(2);
        directory.put(reappearing, 5, clock.now());
        directory.put(lost, 6, clock.now());
        directory.remove(reappearing.id, true, clock.now());
        directory.remove(lost.id, true, clock.now());
        EXPECT_EQ(stateOf(reappearing), ServerState::Doubtful);
        EXPECT_TRUE(directory.find(reappearing.id)->mayTakeFlows());

        clock.advance(1500ms);
        directory.put(reappearing, 20, clock.now());
        directory.noteStoreContact(clock.now());
        clock.advance(600ms);
        directory.tick(clock.now());
        EXPECT_EQ(stateOf(reappearing), ServerState::Ready);
        EXPECT_EQ(stateOf(lost), ServerState::Gone);
        EXPECT_FALSE(directory.find(lost.id)->mayTakeFlows());
    }

    // Guards against taking servers for gone while the store is unreachable after an outage, so that nobody can know
    // whether their entries have reappeared.
    TEST_F(ServerDirectoryTest, ServerStaysDoubtfulWhileTheStoreIsUnreachable)
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
            SCOPED_TRACE("the store is reachable again and does not hold the entry");
            directory.noteStoreContact(clock.now());
            directory.tick(clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Gone);
        }
        {
            SCOPED_TRACE("the doubtful state ends even if the store stays unreachable");
            directory.put(server(2), 30, clock.now());
            directory.remove(server(2).id, true, clock.now());
            clock.advance(11s);
            directory.tick(clock.now());
            EXPECT_EQ(stateOf(server(2)), ServerState::Gone);
        }
    }

    TEST_F(ServerDirectoryTest, ServerIsGoneAtOnceIfItsRemovalIsCertain)
    {
        directory.put(server(1), 5, clock.now());
        directory.remove(server(1).id, false, clock.now());
        EXPECT_EQ(stateOf(server(1)), ServerState::Gone);
        EXPECT_TRUE(directory.serversOf("tryon").empty());
    }

    // Guards against callers that wait for a crashed server whose address was reused, and against ending a live server
    // because of an entry of another writer at its address.
    TEST_F(ServerDirectoryTest, NewEntryAtAnAddressEndsTheFormerIncarnationOnceItsEntryIsGone)
    {
        const RegisteredServer former = server(1, 7);
        const RegisteredServer next = server(2, 7);
        const auto advance = [&](Duration time) {
            clock.advance(time);
            directory.tick(clock.now());
        };
        directory.put(former, 5, clock.now());
        advance(3s);
        directory.put(next, 9, clock.now());
        EXPECT_EQ(stateOf(former), ServerState::Ready);
        EXPECT_FALSE(directory.find(former.id)->mayTakeFlows());
        EXPECT_FALSE(directory.find(next.id)->mayTakeFlows());
        advance(300ms);
        directory.remove(former.id, false, clock.now());
        advance(999ms);
        EXPECT_EQ(stateOf(former), ServerState::Gone);
        advance(1ms);
        EXPECT_EQ(stateOf(former), ServerState::Ended);
        EXPECT_EQ(stateOf(next), ServerState::Ready);
        EXPECT_TRUE(directory.find(next.id)->mayTakeFlows());
        {
            SCOPED_TRACE("a delayed write of the former server changes nothing");
            advance(1s);
            EXPECT_TRUE(directory.put(former, 12, clock.now()).empty());
            EXPECT_EQ(stateOf(former), ServerState::Ended);
            EXPECT_EQ(stateOf(next), ServerState::Ready);
            directory.remove(former.id, false, clock.now());
            EXPECT_EQ(stateOf(former), ServerState::Ended);
        }
        {
            SCOPED_TRACE("the address is reused again, after the entry is gone");
            directory.remove(next.id, false, clock.now());
            advance(3s);
            const RegisteredServer third = server(3, 7);
            directory.put(third, 30, clock.now());
            EXPECT_EQ(stateOf(next), ServerState::Ended);
            EXPECT_EQ(stateOf(third), ServerState::Ready);
            EXPECT_TRUE(directory.find(third.id)->mayTakeFlows());
        }
    }

    // Guards against resetting flows of a live server because a delayed write of the ended server at its address has a
    // higher revision.
    TEST_F(ServerDirectoryTest, OrderOfRevisionsAloneDoesNotEndAServer)
    {
        const RegisteredServer ended = server(1, 7);
        const RegisteredServer live = server(2, 7);
        const auto expectLive = [&] {
            EXPECT_EQ(stateOf(live), ServerState::Ready);
            EXPECT_TRUE(directory.find(live.id)->mayTakeFlows());
        };
        {
            SCOPED_TRACE("a starting balancer reads both entries at once");
            directory.put(live, 71, clock.now());
            directory.put(ended, 90, clock.now());
            expectLive();
        }
        {
            SCOPED_TRACE("the entry of the ended server arrives last, while the live one answers");
            directory = ServerDirectory();
            directory.put(live, 71, clock.now());
            clock.advance(4s);
            directory.find(live.id)->seen.lastProgress = clock.now() - 1s;
            directory.put(ended, 90, clock.now());
            EXPECT_EQ(stateOf(live), ServerState::Ready);
            EXPECT_FALSE(directory.find(ended.id)->mayTakeFlows());
            directory.remove(ended.id, false, clock.now());
            expectLive();
        }
        {
            SCOPED_TRACE("the updates arrive in the wrong order");
            directory = ServerDirectory();
            directory.put(live, 71, clock.now());
            clock.advance(1s);
            directory.put(ended, 57, clock.now());
            expectLive();
        }
        {
            SCOPED_TRACE("the start times decide if the entries hold them");
            directory = ServerDirectory();
            RegisteredServer earlier = ended;
            RegisteredServer later = live;
            earlier.startedAt = 1000;
            later.startedAt = 2000;
            directory.put(later, 71, clock.now());
            directory.put(earlier, 90, clock.now());
            expectLive();
            EXPECT_FALSE(directory.find(earlier.id)->mayTakeFlows());
            directory.remove(earlier.id, false, clock.now());
            clock.advance(1s);
            directory.tick(clock.now());
            expectLive();
            EXPECT_EQ(stateOf(earlier), ServerState::Ended);
        }
    }

    // Guards against routing packets of a flow to another server that has the same token.
    TEST_F(ServerDirectoryTest, OnlyOneOfTwoServersWithTheSameTokenTakesFlows)
    {
        // XOR of the halves of the number gives 3 for both.
        const RegisteredServer first = server(0x0000000000000003);
        const RegisteredServer second = server(0x0000000100000002);
        ASSERT_EQ(tokenOf(first.number), tokenOf(second.number));
        {
            SCOPED_TRACE("the smaller id wins, in whichever order the servers register");
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
            SCOPED_TRACE("a gone server keeps the token while its flows may be open");
            directory.put(second, 5, clock.now());
            directory.remove(second.id, false, clock.now());
            directory.put(first, 6, clock.now());
            EXPECT_EQ(directory.findByToken(tokenOf(first.number))->entry.id, second.id);
            EXPECT_FALSE(directory.find(first.id)->mayTakeFlows());
        }
    }

    // Guards against ejecting a restarted server for the failures of its former process.
    TEST_F(ServerDirectoryTest, RestartUnderTheSameIdResetsTheObservation)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 1000;
        directory.put(entry, 5, clock.now());
        KnownServer& known = *directory.find(entry.id);
        const auto simulateFailures = [&] {
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
        simulateFailures();
        {
            SCOPED_TRACE("another entry of the same process keeps the observation");
            directory.put(entry, 6, clock.now());
            EXPECT_EQ(known.seen.failures, 3U);
        }
        {
            SCOPED_TRACE("restart while the server is ready");
            entry.startedAt = 2000;
            expectNew(directory.put(entry, 7, clock.now()));
        }
        {
            SCOPED_TRACE("restart while the server drains");
            entry.readiness = ServerReadiness::Draining;
            directory.put(entry, 8, clock.now());
            simulateFailures();
            entry.readiness = ServerReadiness::Ready;
            entry.startedAt = 3000;
            expectNew(directory.put(entry, 9, clock.now()));
        }
        {
            SCOPED_TRACE("restart while the server is doubtful, and after it was gone");
            directory.remove(entry.id, true, clock.now());
            simulateFailures();
            entry.startedAt = 4000;
            expectNew(directory.put(entry, 10, clock.now()));
            directory.remove(entry.id, false, clock.now());
            simulateFailures();
            entry.startedAt = 5000;
            expectNew(directory.put(entry, 11, clock.now()));
        }
        {
            SCOPED_TRACE("restart after its address was reused, at another address, and twice within a heartbeat");
            clock.advance(3s);
            RegisteredServer next = server(2, 1);
            next.startedAt = 5500;
            directory.put(next, 12, clock.now());
            directory.remove(entry.id, false, clock.now());
            clock.advance(1s);
            directory.tick(clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Ended);
            simulateFailures();
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

    // Guards against a delayed write of the former process that overwrites the entry of a restarted server.
    TEST_F(ServerDirectoryTest, EntryWithAnEarlierStartTimeIsHeld)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 2000;
        directory.put(entry, 5, clock.now());
        RegisteredServer earlier = entry;
        earlier.startedAt = 1000;
        earlier.readiness = ServerReadiness::Draining;
        EXPECT_TRUE(directory.put(earlier, 6, clock.now()).empty());
        EXPECT_EQ(stateOf(entry), ServerState::Ready);
        {
            SCOPED_TRACE("an entry without a start time is not of this server: it gets no new flows meanwhile");
            RegisteredServer withoutStartTime = earlier;
            withoutStartTime.startedAt = 0;
            directory.put(withoutStartTime, 7, clock.now());
            EXPECT_EQ(directory.find(entry.id)->entry.startedAt, 2000U);
            EXPECT_FALSE(directory.find(entry.id)->mayTakeFlows());
            clock.advance(20s);
            directory.tick(clock.now());
            EXPECT_EQ(directory.find(entry.id)->entry.startedAt, 2000U);
            directory.put(entry, 8, clock.now());
            EXPECT_TRUE(directory.find(entry.id)->mayTakeFlows());
        }
        {
            SCOPED_TRACE("a later write of the server replaces it");
            EXPECT_TRUE(directory.put(earlier, 9, clock.now()).empty());
            clock.advance(9s);
            directory.put(entry, 10, clock.now());
            clock.advance(9s);
            EXPECT_TRUE(directory.tick(clock.now()).empty());
            EXPECT_EQ(directory.find(entry.id)->entry.startedAt, 2000U);
        }
        {
            SCOPED_TRACE(
                "otherwise it is accepted, since the server's clock may have been set back between two starts");
            EXPECT_TRUE(directory.put(earlier, 11, clock.now()).empty());
            clock.advance(9999ms);
            EXPECT_TRUE(directory.tick(clock.now()).empty());
            clock.advance(1ms);
            EXPECT_FALSE(directory.tick(clock.now()).empty());
            EXPECT_EQ(directory.find(entry.id)->entry.startedAt, 1000U);
        }
    }

    // Guards against new flows to a server that leaves and whose entry is that of before: written late, or read from a
    // store that was restored from an older copy.
    TEST_F(ServerDirectoryTest, ServerThatLeavesIsReadyAgainOnlyAsAnotherProcess)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 1000;
        RegisteredServer leaving = entry;
        leaving.readiness = ServerReadiness::Draining;
        directory.put(leaving, 5, clock.now());
        directory.put(entry, 6, clock.now());
        EXPECT_EQ(stateOf(entry), ServerState::Draining);
        {
            SCOPED_TRACE("its entry vanishes and reappears");
            directory.remove(entry.id, true, clock.now());
            directory.put(entry, 8, clock.now());
            EXPECT_EQ(stateOf(entry), ServerState::Draining);
        }
        entry.startedAt = 2000;
        directory.put(entry, 9, clock.now());
        EXPECT_EQ(stateOf(entry), ServerState::Ready);
    }

    // Guards against new flows to a server whose entry was overwritten with an unreadable value.
    TEST_F(ServerDirectoryTest, ServerWithAnUnreadableEntryKeepsOnlyItsOpenFlows)
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
            SCOPED_TRACE("the next readable entry makes it ready again");
            directory.put(entry, 9, clock.now());
            EXPECT_TRUE(directory.find(entry.id)->mayTakeFlows());
        }
    }

    TEST_F(ServerDirectoryTest, TokensAreNeverZero)
    {
        EXPECT_EQ(tokenOf(0), 1U);
        EXPECT_EQ(tokenOf(0x0000000500000005), 1U);
        EXPECT_EQ(tokenOf(0x7F3A91C2), 0x7F3A91C2U);
    }

}

}
