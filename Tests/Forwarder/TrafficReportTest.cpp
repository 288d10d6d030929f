#include "Forwarder/TrafficReport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <unistd.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(TrafficReportTest, OneLinePerPeriodWithEveryCause)
    {
        int ends[2];
        ASSERT_EQ(pipe(ends), 0);
        ManualClock clock;
        EventLog log({ "vm", "zone", 1 }, ends[1], 200);
        TrafficReport report(log, clock.now());
        EXPECT_FALSE(report.isDue(clock.now()));
        clock.advance(10s);
        EXPECT_TRUE(report.isDue(clock.now()));
        report.write({ { "pushes", 3, 1000, 200 }, { "packets", 5, 70, 70 } }, { 2500us, 4096 }, clock.now());
        EXPECT_FALSE(report.isDue(clock.now()));
        log.buffer().flushAll();
        close(ends[1]);
        std::string text(4096, '\0');
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, read(ends[0], text.data(), text.size()))));
        close(ends[0]);
        EXPECT_NE(text.find(R"("event":"traffic")"), std::string::npos) << text;
        EXPECT_NE(
            text.find(R"("pushes_messages":3,"pushes_sent_bytes":1000,"pushes_received_bytes":200)"), std::string::npos)
            << text;
        EXPECT_NE(text.find(R"("cpu_ms":2.500,"heap_kb":4096)"), std::string::npos) << text;
    }

    TEST(TrafficReportTest, UsageOfThisProcessIsRead)
    {
        const ResourceUsage usage = resourceUsage();
        EXPECT_GT(usage.processorTime.count(), 0);
        const std::string held(std::size_t(8) * 1024 * 1024, 'h');
        EXPECT_GE(resourceUsage().heapKilobytes, usage.heapKilobytes + held.size() / 1024);
    }

}

}
