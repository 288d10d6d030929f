#include "Core/EventLog.h"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A pipe that the test reads when it calls read().
    struct Pipe {
        std::array<int, 2> ends { -1, -1 };

        Pipe()
        {
            EXPECT_EQ(::pipe(ends.data()), 0);
            ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        }
        ~Pipe()
        {
            ::close(ends[0]);
            ::close(ends[1]);
        }

        std::string read() const
        {
            std::string text;
            std::array<char, 65536> buffer {};
            for (;;) {
                const ssize_t count = ::read(ends[0], buffer.data(), buffer.size());
                if (count <= 0)
                    return text;
                text.append(buffer.data(), static_cast<std::size_t>(count));
            }
        }
    };

    std::size_t countOf(const std::string& text, const std::string& what)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
            ++count;
        return count;
    }

    // Returns the sum of the numbers that follow each occurrence of the text.
    std::uint64_t sumOf(const std::string& text, const std::string& what)
    {
        std::uint64_t sum = 0;
        for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
            sum += std::stoull(text.substr(at + what.size(), 20));
        return sum;
    }

    struct EventLogTest : testing::Test {
        ManualClock clock;
        Pipe pipe;
        EventLog log { { "edge-1", "walu", 7 }, pipe.ends[1], 10 };
    };

    TEST_F(EventLogTest, LineFormat)
    {
        log.write(LogLevel::Info, "flow", "opened",
            Event()
                .add("flow", "a\"b\\c\n")
                .add("count", 3)
                .add("age_ms", 1500us)
                .add("load", -0.25)
                .add("trial", true),
            clock.now());
        log.flush(clock.now());
        const std::string line = pipe.read();
        EXPECT_EQ(line.find("{\"steady_ms\":3600000.000,\"time_of_day_s\":"), 0U) << line;
        EXPECT_NE(line.find("\"level\":\"info\",\"part\":\"flow\",\"event\":\"opened\",\"vm\":\"edge-1\","
                            "\"availability_zone\":\"walu\",\"incarnation\":7,\"flow\":\"a\\\"b\\\\c\\u000a\","
                            "\"count\":3,\"age_ms\":1.500,\"load\":-0.250,\"trial\":true}\n"),
            std::string::npos)
            << line;
    }

    TEST_F(EventLogTest, ExcessLinesOfOneKindAreCounted)
    {
        for (int i = 0; i < 500; ++i)
            log.write(LogLevel::Warning, "flow", "malformed", Event().add("bytes", i), clock.now());
        log.write(LogLevel::Info, "process", "stopping", Event(), clock.now());
        log.flush(clock.now());
        std::string text = pipe.read();
        EXPECT_EQ(countOf(text, "\"event\":\"malformed\""), 10U);
        EXPECT_EQ(countOf(text, "\"event\":\"stopping\""), 1U);
        EXPECT_EQ(log.suppressed(), 490U);

        clock.advance(1s);
        log.flush(clock.now());
        text = pipe.read();
        EXPECT_NE(text.find("\"event\":\"suppressed\""), std::string::npos);
        EXPECT_NE(text.find("\"kind\":\"flow.malformed\",\"count\":490,\"budget_per_s\":10"), std::string::npos)
            << text;
    }

    // Guards against blocking on a full log pipe whose reader has stopped.
    TEST_F(EventLogTest, FullPipeDoesNotBlock)
    {
        log.setBudget(1'000'000);
        const std::string text(900, 'x');
        for (int i = 0; i < 2000; ++i) {
            log.write(LogLevel::Info, "flow", "opened", Event().add("text", text), clock.now());
            if (i % 50 == 0)
                log.flush(clock.now());
        }
        const std::uint64_t dropped = log.buffer().dropped();
        EXPECT_GT(dropped, 0U);
        EXPECT_EQ(dropped + log.buffer().lines(), 2000U);
        {
            SCOPED_TRACE("the number of dropped lines is reported once the pipe is read again");
            std::string seen;
            while (!log.buffer().isEmpty()) {
                seen += pipe.read();
                log.flush(clock.now());
            }
            log.write(LogLevel::Info, "flow", "opened", Event(), clock.now());
            log.flush(clock.now());
            seen += pipe.read();
            EXPECT_EQ(sumOf(seen, "\"event\":\"lines_dropped\",\"count\":"), dropped);
            EXPECT_EQ(countOf(seen, "\"event\":\"opened\""), log.buffer().lines());
        }
    }

    TEST_F(EventLogTest, LevelFiltersLines)
    {
        log.write(LogLevel::Debug, "flow", "established", Event(), clock.now());
        log.flush(clock.now());
        EXPECT_EQ(pipe.read(), "");
        log.setLevel(LogLevel::Debug);
        log.write(LogLevel::Debug, "flow", "established", Event(), clock.now());
        log.flush(clock.now());
        EXPECT_NE(pipe.read(), "");
    }

}

}
