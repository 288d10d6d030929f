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
        directory.noteStoreHeard(clock.now());
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
        directory.noteStoreHeard(clock.now());
        directory.remove(entry.id, true, clock.now());
        clock.advance(500ms);
        directory.noteStoreHeard(clock.now());
        clock.advance(5s);
        directory.tick(clock.now());
        EXPECT_EQ(stateOf(entry), ServerState::Doubtful);
        {
            SCOPED_TRACE("the store is heard again and does not name it");
            directory.noteStoreHeard(clock.now());
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
        {
            SCOPED_TRACE("whatever order the entries come in, the later one in the store lives");
            directory.put(next, 9, clock.now());
            directory.put(former, 5, clock.now());
            EXPECT_EQ(stateOf(former), ServerState::Ended);
            EXPECT_EQ(stateOf(next), ServerState::Ready);
        }
        {
            SCOPED_TRACE("and again when the address moves on");
            const RegisteredServer third = server(3, 7);
            directory.put(third, 30, clock.now());
            EXPECT_EQ(stateOf(next), ServerState::Ended);
            EXPECT_EQ(stateOf(third), ServerState::Ready);
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

    TEST_F(ServerDirectoryTest, tokensAreNeverZero)
    {
        EXPECT_EQ(tokenOf(0), 1U);
        EXPECT_EQ(tokenOf(0x0000000500000005), 1U);
        EXPECT_EQ(tokenOf(0x7F3A91C2), 0x7F3A91C2U);
    }

}

}
