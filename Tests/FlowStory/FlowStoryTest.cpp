#include "FlowStory/FlowStory.h"

#include <gtest/gtest.h>

#include <sstream>

namespace wisteriadock {

namespace {

    // Lines of two balancers, each with the prefix of a log collector, and not sorted across balancers.
    constexpr const char* text = R"(
vm-2 | {"steady_ms":1.0,"time_of_day_s":100.300000,"level":"info","part":"flow","event":"opened_elsewhere","vm":"vm-2","flow":"10.0.0.1:5>198.18.0.1:443","server":"i-2"}
vm-2 | {"steady_ms":2.0,"time_of_day_s":100.400000,"level":"info","part":"flow","event":"request","vm":"vm-2","flow":"10.0.0.1:5>198.18.0.1:443","request":"abc","server":"i-2"}
vm-1 | {"steady_ms":9.0,"time_of_day_s":100.100000,"level":"info","part":"flow","event":"opened","vm":"vm-1","flow":"10.0.0.1:5>198.18.0.1:443","server":"i-1"}
vm-1 | {"steady_ms":9.0,"time_of_day_s":100.150000,"level":"info","part":"flow","event":"opened","vm":"vm-1","flow":"10.0.0.1:55>198.18.0.1:443","server":"i-3"}
vm-1 | {"steady_ms":9.5,"time_of_day_s":102.000000,"level":"info","part":"server","event":"gone","vm":"vm-1","server":"i-1"}
vm-1 | {"steady_ms":9.6,"time_of_day_s":102.100000,"level":"info","part":"server","event":"gone","vm":"vm-1","server":"i-9"}
vm-1 | {"steady_ms":9.9,"time_of_day_s":190.000000,"level":"info","part":"server","event":"ready","vm":"vm-1","server":"i-1"}
vm-1 | {"steady_ms":10.0,"time_of_day_s":99.0000
no object here
)";

    std::vector<LogLine> linesOf(std::size_t& unreadable)
    {
        std::istringstream input(text);
        return readLogLines(input, unreadable);
    }

    std::vector<std::string> eventsOf(const FlowStoryQuery& query)
    {
        std::size_t unreadable = 0;
        const auto selected = selectFlowLines(linesOf(unreadable), query);
        std::vector<std::string> events;
        for (const LogLine& line : selected ? selected.value() : std::vector<LogLine>())
            events.push_back(line.text("vm") + " " + line.text("event"));
        return events;
    }

    using Events = std::vector<std::string>;

    TEST(FlowStoryTest, RequestSelectsItsFlowAtAllBalancersInTimeOrder)
    {
        const Events expected { "vm-1 opened", "vm-2 opened_elsewhere", "vm-2 request", "vm-1 gone" };
        EXPECT_EQ(eventsOf({ .request = "abc" }), expected);
        EXPECT_EQ(eventsOf({ .flow = "10.0.0.1:5>198.18.0.1:443" }), expected);
        EXPECT_EQ(eventsOf({ .flow = "10.0.0.1:5" }), expected);
    }

    TEST(FlowStoryTest, ContextIsLimitedToTheServersOfTheFlowAndTheContextTime)
    {
        EXPECT_EQ(eventsOf({ .flow = "10.0.0.1:5", .contextTime = std::chrono::milliseconds(0) }).size(), 3U);
        EXPECT_EQ(eventsOf({ .flow = "10.0.0.1:5", .contextTime = std::chrono::seconds(100) }).back(), "vm-1 ready");
        EXPECT_EQ(eventsOf({ .server = "i-3" }), Events { "vm-1 opened" });
    }

    TEST(FlowStoryTest, CountsMalformedLinesAndReportsQueriesWithoutAMatch)
    {
        std::size_t unreadable = 0;
        const std::vector<LogLine> lines = linesOf(unreadable);
        EXPECT_EQ(lines.size(), 7U);
        EXPECT_EQ(unreadable, 1U);
        EXPECT_EQ(selectFlowLines(lines, {}).error().code, ErrorCode::InvalidArgument);
        EXPECT_EQ(selectFlowLines(lines, { .request = "unknown" }).error().code, ErrorCode::NotFound);
    }

    TEST(FlowStoryTest, DescriptionOfALine)
    {
        std::size_t unreadable = 0;
        EXPECT_EQ(describe(linesOf(unreadable).front(), 100.0),
            "  0.300000 vm-2             flow.opened_elsewhere flow=10.0.0.1:5>198.18.0.1:443 server=i-2");
    }

}

}
