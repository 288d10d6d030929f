#include "Forward/StartTimeUse.h"

#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Guards against entries of another writer that outvote the servers about what an entry must hold.
    TEST(StartTimeUseTest, EntriesThatNoServerAnswersForDoNotOutvoteServers)
    {
        StartTimeUse use;
        EXPECT_FALSE(use.isExpected());
        use.change(StartTimeVote::None, StartTimeVote::Telling);
        EXPECT_TRUE(use.isExpected());
        EXPECT_TRUE(use.hasChanged());
        EXPECT_FALSE(use.hasChanged());
        {
            SCOPED_TRACE("nobody has answered: one entry without a start time for each server does not suffice");
            use.addWithout("i-1");
            use.addWithout("i-1");
            EXPECT_TRUE(use.isExpected());
            use.addWithout("i-2");
            EXPECT_FALSE(use.isExpected());
        }
        {
            SCOPED_TRACE("one answer does not suffice against more entries, since few servers may have been asked yet");
            use.change(StartTimeVote::Telling, StartTimeVote::AnsweringTelling);
            EXPECT_FALSE(use.isExpected());
        }
        {
            SCOPED_TRACE("half of the servers have answered, and none without a start time");
            for (int i = 0; i < 3; ++i)
                use.change(StartTimeVote::None, StartTimeVote::Telling);
            for (int i = 0; i < 10; ++i)
                use.addWithout("j-" + std::to_string(i));
            EXPECT_FALSE(use.isExpected());
            use.change(StartTimeVote::Telling, StartTimeVote::AnsweringTelling);
            EXPECT_TRUE(use.isExpected());
        }
        {
            SCOPED_TRACE("among thousands, a few that have answered suffice");
            for (int i = 0; i < 1000; ++i)
                use.change(StartTimeVote::None, StartTimeVote::Telling);
            for (int i = 0; i < 3000; ++i)
                use.addWithout("k-" + std::to_string(i));
            EXPECT_FALSE(use.isExpected());
            for (std::size_t i = 2; i < StartTimeUse::enoughAnswering; ++i)
                use.change(StartTimeVote::Telling, StartTimeVote::AnsweringTelling);
            EXPECT_TRUE(use.isExpected());
        }
        {
            SCOPED_TRACE("a server without a start time answers: the number of entries decides");
            use.change(StartTimeVote::None, StartTimeVote::AnsweringWithout);
            EXPECT_FALSE(use.isExpected());
            for (int i = 0; i < 3000; ++i)
                use.removeWithout("k-" + std::to_string(i));
            EXPECT_TRUE(use.isExpected());
        }
        {
            SCOPED_TRACE("unless most that answer tell none");
            for (std::size_t i = 0; i < StartTimeUse::enoughAnswering; ++i)
                use.change(StartTimeVote::None, StartTimeVote::AnsweringWithout);
            EXPECT_FALSE(use.isExpected());
        }
    }

    // Guards against a server that stays out of use for good where entries have no start times, after one entry under
    // its key that has one.
    TEST(StartTimeUseTest, OwnEntryWithoutAStartTimeHoldsAfterAForeignOneWithAStartTime)
    {
        constexpr std::uint64_t started = 1'770'000'000'000;
        constexpr auto writeInterval = 770ms;
        ForwardFixture plain;
        plain.router.applyConfiguration(ForwardFixture::configuration(3));
        for (std::uint64_t number = 1; number <= 3; ++number)
            plain.put(ForwardFixture::server(number));
        RegisteredServer foreign = ForwardFixture::server(1);
        foreign.startedAt = started;
        plain.put(foreign);
        plain.clock.advance(writeInterval);
        plain.put(ForwardFixture::server(1));
        EXPECT_TRUE(plain.router.directory().find(ForwardFixture::server(1).id)->mayTakeFlows());
        for (Duration passed {}; passed <= EntryTimes().delayedWriteHoldTime; passed += 250ms) {
            plain.clock.advance(250ms);
            plain.router.noteStoreContact(plain.clock.now());
            plain.router.tick(plain.clock.now());
        }
        EXPECT_TRUE(plain.router.directory().find(ForwardFixture::server(1).id)->mayTakeFlows());
        EXPECT_EQ(plain.router.directory().find(ForwardFixture::server(1).id)->entry.startedAt, 0U);
    }

}

}
