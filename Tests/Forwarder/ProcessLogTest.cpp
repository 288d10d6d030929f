#include "Forwarder/ProcessLog.h"

#include "BuildInfo/BuildInfo.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <string>
#include <unistd.h>

namespace wisteriadock {

namespace {

    // Guards against a fault that is searched in sources from which the program was not built.
    TEST(ProcessLogTest, StartedLineTellsTheSourcesOfTheProgram)
    {
        std::array<int, 2> ends { -1, -1 };
        ASSERT_EQ(::pipe(ends.data()), 0);
        EventLog log({ "edge-1", "walu", 7 }, ends[1]);
        ProcessLog(log, TimePoint()).started(ForwarderSettings(), TimePoint());
        log.buffer().flushAll();
        std::string line(4096, '\0');
        line.resize(static_cast<std::size_t>(::read(ends[0], line.data(), line.size())));
        ::close(ends[0]);
        ::close(ends[1]);

        const std::string sources(sourceDigest());
        EXPECT_THAT(sources, testing::MatchesRegex("[0-9a-f]{12}"));
        EXPECT_THAT(line, testing::HasSubstr("\"sources\":\"" + sources + "\""));
        EXPECT_THAT(versionText("wisteriadock-forwarder"), testing::HasSubstr("sources " + sources));
    }

}

}
