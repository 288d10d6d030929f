#include "Forward/StartTimeUse.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    // Guards against entries of another writer that outvote the servers about what an entry must hold.
    TEST(StartTimeUseTest, ServersThatAnswerDecideBeforeTheNumberOfEntries)
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
            SCOPED_TRACE("the server answers");
            use.change(StartTimeVote::Telling, StartTimeVote::AnsweringTelling);
            EXPECT_TRUE(use.isExpected());
        }
        {
            SCOPED_TRACE("servers that tell none answer as well");
            use.change(StartTimeVote::None, StartTimeVote::AnsweringWithout);
            EXPECT_FALSE(use.isExpected());
            use.removeWithout("i-2");
            EXPECT_TRUE(use.isExpected());
            use.change(StartTimeVote::None, StartTimeVote::AnsweringWithout);
            EXPECT_FALSE(use.isExpected());
        }
    }

}

}
