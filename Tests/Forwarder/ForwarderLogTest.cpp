#include "Forwarder/ForwarderLog.h"
#include "Forwarder/MembersLog.h"

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t serversAtStart = 300;
    constexpr std::size_t peersAtStart = 300;
    // Bytes that the reader accepts at each tick of the forwarder.
    constexpr std::size_t readerBytes = 4096;
    constexpr auto tickInterval = 250ms;
    // The log must show within a second after a restart that the forwarder is ready.
    constexpr int ticksToLogReady = 4;

    // A pipe that holds as many bytes as its reader takes at once.
    struct SlowReader {
        std::array<int, 2> ends { -1, -1 };

        SlowReader()
        {
            EXPECT_EQ(::pipe(ends.data()), 0);
            ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
            ::fcntl(ends[1], F_SETPIPE_SZ, readerBytes);
        }
        ~SlowReader()
        {
            ::close(ends[0]);
            ::close(ends[1]);
        }
        SlowReader(const SlowReader&) = delete;
        SlowReader& operator=(const SlowReader&) = delete;

        std::string read() const
        {
            std::string text(readerBytes, '\0');
            const ssize_t count = ::read(ends[0], text.data(), text.size());
            text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
            return text;
        }
    };

    // Writes the log of a forwarder that starts with hundreds of servers and peers.
    struct ForwarderLogTest : testing::Test {
        ManualClock clock;
        SlowReader reader;
        EventLog log { { "edge-1", "walu", 7 }, reader.ends[1] };
        ForwarderLog lines { log };
        MembersLog members { log };
        std::string output;

        void writeStart()
        {
            log.write(LogLevel::Info, "process", "started", Event(), clock.now());
            ServerDirectory::Transitions listed;
            for (std::size_t i = 0; i < serversAtStart; ++i)
                listed.push_back({ fmt::format("i-{:010x}", i * 2654435761), "streams", "walu", ServerState::Ready,
                    ServerState::Ready, true });
            listed.front().after = ServerState::Draining;
            lines.transitions(listed, 42, "store", clock.now());
            log.write(LogLevel::Info, "process", "ready", Event().add("servers", serversAtStart), clock.now());
        }

        void meetPeers()
        {
            members.start(clock.now());
            MembersView view;
            for (std::size_t i = 0; i < peersAtStart; ++i) {
                Member member;
                member.name = fmt::format("edge-walu-{}", i);
                member.id = balancerIdOf(member.name);
                member.availabilityZone = "walu";
                member.state = MemberState::Serving;
                view.members.push_back(member);
                std::ranges::sort(view.members, {}, &Member::id);
                if (i % 10 == 0)
                    members.handleView(view, false, clock.now());
            }
            members.handleView(view, true, clock.now());
        }

        void passTick()
        {
            log.flush(clock.now());
            output += reader.read();
            clock.advance(tickInterval);
        }

        std::vector<nlohmann::json> linesRead() const
        {
            std::vector<nlohmann::json> found;
            std::istringstream input(output);
            for (std::string line; std::getline(input, line);)
                found.push_back(nlohmann::json::parse(line, nullptr, false));
            return found;
        }

        static bool isEvent(const nlohmann::json& line, const char* part, const char* event)
        {
            return line.is_object() && line["part"] == part && line["event"] == event;
        }
        std::ptrdiff_t countOf(const char* part, const char* event) const
        {
            return std::ranges::count_if(linesRead(), [&](const auto& line) { return isEvent(line, part, event); });
        }
    };

    // Guards against a burst of lines at the start that exceeds what the log's reader accepts, so that the line
    // process.ready is lost and others are truncated.
    TEST_F(ForwarderLogTest, StartWithHundredsOfServersFitsASlowReader)
    {
        writeStart();
        meetPeers();
        for (int i = 0; i < ticksToLogReady; ++i)
            passTick();
        for (const auto& line : linesRead())
            EXPECT_TRUE(line.is_object());
        EXPECT_EQ(countOf("process", "started"), 1);
        EXPECT_EQ(countOf("process", "ready"), 1);
        EXPECT_TRUE(log.buffer().isEmpty());
        {
            SCOPED_TRACE("the listing is logged in one line, and the only draining server in its own");
            EXPECT_EQ(countOf("server", "many"), 1);
            EXPECT_EQ(countOf("server", "draining"), 1);
        }
        {
            SCOPED_TRACE("the peers discovered are logged in one line");
            EXPECT_EQ(countOf("peers", "met_many"), 1);
            EXPECT_EQ(countOf("peers", "met"), 0);
        }
    }

    TEST_F(ForwarderLogTest, HighPriorityLinesPrecedeLinesOfFlows)
    {
        for (std::size_t i = 0; i < 150; ++i)
            log.write(LogLevel::Info, "flow", "opened", Event().add("flow", i), clock.now());
        log.write(LogLevel::Warning, "store", "lost", Event(), clock.now());
        passTick();
        EXPECT_EQ(countOf("store", "lost"), 1);
        for (const auto& line : linesRead())
            EXPECT_TRUE(line.is_object());
        {
            SCOPED_TRACE("the lines of flows follow and are complete");
            for (int i = 0; i < 20; ++i)
                passTick();
            EXPECT_EQ(countOf("flow", "opened"), 150);
        }
    }

    // Guards against refusals and flows to other zones whose cause the log does not tell.
    TEST_F(ForwarderLogTest, OverloadIsLoggedWhenItBeginsAndEnds)
    {
        RouterSettings settings;
        settings.availabilityZone = "walu";
        settings.overload = { true, true };
        TokenRouter router(settings);
        const Endpoint urgent { 0xC6120001, 8443 };
        const Endpoint other { 0xC6120002, 8443 };
        router.applyConfiguration(
            { 1, { { "overlay", urgent, { { "tryon", 1 } }, 0ms, 0 }, { "scan", other, { { "tryon", 1 } }, 0ms, 1 } },
                15s });
        for (const std::uint64_t number : { 1, 2 }) {
            RegisteredServer server;
            server.id = fmt::format("i-{}", number);
            server.number = number;
            server.service = "tryon";
            server.availabilityZone = number == 1 ? "walu" : "nabua";
            server.slots = 2;
            router.putServer(server, number, clock.now());
        }
        const auto know = [&](float demand) {
            for (int i = 0; i < 20; ++i) {
                clock.advance(tickInterval);
                const float served = std::min(demand, 0.75F) * 50;
                router.setServiceLoad("tryon",
                    { { { "walu", "walu", 1, { demand * 2, demand * 50, served, demand * 50 - served, 0, 40ms } } },
                        { "walu", "nabua" } });
                router.tick(clock.now());
                lines.changes(router, clock.now());
            }
        };
        know(4);
        TokenPacket packet;
        packet.ends = { { 1, 1 }, other };
        packet.opens = true;
        PacketDecision refused;
        for (; refused.verdict != PacketVerdict::Reset && packet.ends.caller.address < 1000;
             ++packet.ends.caller.address)
            refused = router.route(packet, clock.now());
        lines.packet(packet, refused, "", 1, 1, clock.now());
        know(0.1F);
        passTick();
        EXPECT_EQ(countOf("overload", "shed_level"), 2);
        EXPECT_EQ(countOf("overload", "spillover"), 2);
        const auto all = linesRead();
        const auto line
            = std::ranges::find_if(all, [](const auto& one) { return isEvent(one, "flow", "priority_shed"); });
        ASSERT_NE(line, all.end());
        EXPECT_EQ((*line)["priority"], 1);
        EXPECT_GT((*line)["level"], 0);
    }

    TEST_F(ForwarderLogTest, PeerDiscoveredLaterHasItsOwnLine)
    {
        meetPeers();
        MembersView view;
        for (const char* name : { "edge-walu-0", "edge-walu-new" }) {
            Member member;
            member.name = name;
            member.id = balancerIdOf(member.name);
            member.state = MemberState::Serving;
            view.members.push_back(member);
        }
        std::ranges::sort(view.members, {}, &Member::id);
        members.handleView(view, true, clock.now());
        passTick();
        EXPECT_EQ(countOf("peers", "met"), 1);
    }

    // Guards against subtracting the time of a start that has not happened: messages of others may arrive before it.
    TEST_F(ForwarderLogTest, ViewBeforeTheStartIsLoggedAfterIt)
    {
        MembersView view;
        Member member;
        member.name = "edge-walu-1";
        member.id = balancerIdOf(member.name);
        member.state = MemberState::Serving;
        view.members.push_back(member);
        for (const bool isSettled : { false, true })
            members.handleView(view, isSettled, clock.now());
        passTick();
        EXPECT_EQ(countOf("peers", "met_many"), 0);
        members.start(clock.now());
        clock.advance(tickInterval);
        members.tick(view, true, clock.now());
        passTick();
        EXPECT_EQ(countOf("peers", "met_many"), 1);
        for (const auto& line : linesRead()) {
            if (isEvent(line, "peers", "met_many")) {
                EXPECT_EQ(line["after_ms"].get<double>(), 250.0);
            }
        }
    }

}

}
