#include "Support/FlowFleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <functional>
#include <thread>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    constexpr unsigned packetThreads = 4;
    constexpr auto tickLength = 50ms;
    constexpr std::uint32_t loopback = 0x7F000001;
    constexpr std::uint16_t firstFlowPort = 1000;
    // Packets that all threads together route at least between two steps of the control thread.
    constexpr std::uint64_t packetsPerStep = 200;

    // Engines with real threads: packet threads route on all engines, while the thread of the test is the control
    // thread of each engine. Messages between engines arrive with the next step. The clock is simulated.
    class FlowThreadsTest : public testing::Test {
    protected:
        ~FlowThreadsTest() override { stopPackets(); }

        void addEngines(std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i) {
                Member member;
                member.name = "balancer-" + std::to_string(i);
                member.id = balancerIdOf(member.name);
                member.flowAddress = { loopback, static_cast<std::uint16_t>(firstFlowPort + i) };
                engines_.push_back(std::make_unique<FlowEngine>(FlowSettings {}, member.id, i));
                members_.push_back(member);
            }
        }

        void startPackets(const std::function<void(std::mt19937_64&)>& route)
        {
            for (unsigned i = 0; i < packetThreads; ++i) {
                threads_.emplace_back([this, route, i] {
                    std::mt19937_64 random(i);
                    while (!stopping_) {
                        route(random);
                        ++packets_;
                    }
                });
            }
        }

        void stopPackets()
        {
            stopping_ = true;
            for (std::thread& thread : threads_)
                thread.join();
            threads_.clear();
        }

        void awaitPackets(std::uint64_t count) const
        {
            const std::uint64_t end = packets_ + count;
            while (!threads_.empty() && packets_ < end)
                std::this_thread::yield();
        }

        TimePoint now() const { return now_.load(); }

        void apply(std::size_t engine, const Configuration& configuration)
        {
            send(engine,
                engines_[engine]->applyConfiguration(std::make_shared<Configuration>(configuration), version_, now()));
        }

        void applyView(std::size_t engine, bool isolated = false)
        {
            MembersView view { ++revision_, members_[engine].id, members_, isolated };
            std::sort(
                view.members.begin(), view.members.end(), [](const Member& a, const Member& b) { return a.id < b.id; });
            send(engine, engines_[engine]->applyMembers(std::make_shared<MembersView>(view), now()));
        }

        void applyViews()
        {
            for (std::size_t i = 0; i < engines_.size(); ++i)
                applyView(i);
        }

        // Delivers the messages of the previous step and ticks every engine.
        void step()
        {
            // As in the daemon, the time of the control thread is slightly behind that of the packet threads.
            const TimePoint tickTime = now();
            now_ = tickTime + tickLength;
            for (std::size_t remaining = messages_.size(); remaining > 0; --remaining) {
                const auto message = std::move(messages_.front());
                messages_.pop_front();
                const auto to = std::find_if(members_.begin(), members_.end(),
                    [&](const Member& member) { return member.id == message.second.to; });
                const auto receiver = static_cast<std::size_t>(to - members_.begin());
                send(
                    receiver, engines_[receiver]->handle(members_[message.first].id, message.second.message, tickTime));
            }
            bool changed = false;
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                send(i, engines_[i]->tick(tickTime));
                const bool startsServing = members_[i].state == MemberState::Joining && engines_[i]->isSynchronized();
                if (startsServing)
                    members_[i].state = MemberState::Serving;
                changed = changed || startsServing;
            }
            if (changed)
                applyViews();
            awaitPackets(packetsPerStep);
        }

        bool stepUntilSettled(int maxSteps)
        {
            const auto isSettled = [](const auto& engine) {
                return engine->isSynchronized() && engine->counters().unsettledServices == 0;
            };
            for (int i = 0; i < maxSteps; ++i) {
                step();
                if (std::all_of(engines_.begin(), engines_.end(), isSettled))
                    return true;
            }
            return false;
        }

        void send(std::size_t from, const FlowActions& actions)
        {
            for (const SendFlowMessage& action : actions)
                messages_.emplace_back(from, action);
        }

        // Routes one packet and forwards it between balancers; returns the server's id, or 0 for a dropped packet.
        std::uint32_t routeAndForward(std::size_t engine, FlowPacket packet)
        {
            constexpr int maxAttempts = 4;
            for (int attempt = 0; attempt < maxAttempts; ++attempt) {
                const RouteDecision decision = engines_[engine]->route(packet, now());
                if (decision.kind == RouteKind::ToBackendServer)
                    return decision.backendServer.value;
                if (decision.kind == RouteKind::Drop)
                    return 0;
                packet.forwardedBy = members_[engine].id;
                ++packet.hops;
                engine = decision.destination.port - firstFlowPort;
            }
            return 0;
        }

        static Endpoint clientOf(std::size_t flow)
        {
            constexpr std::uint32_t firstClient = 0x0A000000;
            constexpr std::uint16_t clientPort = 40000;
            return { firstClient + static_cast<std::uint32_t>(flow), clientPort };
        }

        // Routes a packet of a random open flow through a random engine; half of the time it is one of the newest
        // flows.
        void routeOpenFlow(std::mt19937_64& random)
        {
            constexpr std::size_t newestFlows = 64;
            const std::size_t opened = openedFlows_;
            const std::size_t first = random() % 2 == 0 && opened > newestFlows ? opened - newestFlows : 0;
            const std::size_t flow = first + random() % (opened - first);
            const Endpoint address = addresses_[flow % addresses_.size()];
            const std::uint32_t server
                = routeAndForward(random() % engines_.size(), { clientOf(flow), address, {}, 0, false });
            if (server == 0) {
                ++dropped_;
                return;
            }
            std::uint32_t expected = 0;
            const bool isFirst = servers_[flow].compare_exchange_strong(expected, server);
            if (!isFirst && expected != server)
                ++broken_;
        }

        // Routes the first packet of a new flow.
        void routeNewFlow(std::mt19937_64& random)
        {
            const std::size_t flow = openedFlows_++;
            const std::uint64_t phase = phase_;
            const FlowPacket packet { clientOf(flow), addresses_[random() % addresses_.size()], {}, 0, false };
            const bool routed = engines_.front()->route(packet, now()).kind == RouteKind::ToBackendServer;
            routed_ += routed;
            // Odd phases last from the start of an isolation until the engine has synchronized again.
            if (routed && phase % 2 == 1 && phase_ == phase)
                ++routedUnsynchronized_;
        }

        void setAddresses(const Configuration& configuration)
        {
            for (const Service& service : configuration.services)
                addresses_.push_back(service.address);
        }

        std::vector<std::unique_ptr<FlowEngine>> engines_;
        std::vector<Member> members_;
        std::deque<std::pair<std::size_t, SendFlowMessage>> messages_;
        std::uint64_t revision_ = 0;
        // The version of the newest configuration.
        std::uint64_t version_ = 1;

        std::vector<Endpoint> addresses_;
        std::vector<std::atomic<std::uint32_t>> servers_ = std::vector<std::atomic<std::uint32_t>>(1 << 16);
        std::atomic<std::size_t> openedFlows_ = 1;
        std::atomic<TimePoint> now_ = ManualClock().now();
        std::atomic<std::uint64_t> packets_ = 0;
        std::atomic<std::uint64_t> dropped_ = 0;
        std::atomic<std::uint64_t> broken_ = 0;
        std::atomic<std::uint64_t> phase_ = 0;
        std::atomic<std::uint64_t> routed_ = 0;
        std::atomic<std::uint64_t> routedUnsynchronized_ = 0;
        std::atomic<bool> stopping_ = false;
        std::vector<std::thread> threads_;
    };

    // Drains, reactivations, weight changes and a removal in sequence. Engines apply each change at different steps.
    class FlowThreadsChangeTest : public FlowThreadsTest, public testing::WithParamInterface<std::size_t> {
    protected:
        void change(Configuration& configuration, int round) const
        {
            BackendServer& server = serverNamed(configuration, "tryon-" + std::to_string(round / 2 % 5));
            switch (round % 4) {
            case 0:
            case 2:
                server.state = BackendServerState::Draining;
                break;
            case 1:
                server.state = BackendServerState::Active;
                serverNamed(configuration, "scanintake-1").weight += 100;
                break;
            default:
                server.state = BackendServerState::Active;
                std::erase_if(configuration.backendServers,
                    [](const BackendServer& candidate) { return candidate.name == "scanintake-3"; });
            }
        }
    };

    TEST_P(FlowThreadsChangeTest, FlowsStayOnTheirServers)
    {
        constexpr int rounds = 24;
        constexpr int maxSteps = 400;
        constexpr std::size_t newFlowsPerStep = 16;

        addEngines(GetParam());
        Configuration configuration = makeConfiguration({ { "tryon", 6 }, { "scanintake", 4 } });
        setAddresses(configuration);
        for (std::size_t i = 0; i < engines_.size(); ++i)
            apply(i, configuration);
        applyViews();
        startPackets([this](std::mt19937_64& random) { routeOpenFlow(random); });
        ASSERT_TRUE(stepUntilSettled(maxSteps)) << "engines did not settle after the start";

        for (int round = 0; round < rounds; ++round) {
            SCOPED_TRACE(round);
            change(configuration, round);
            ++version_;
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                apply((i + round) % engines_.size(), configuration);
                openedFlows_ += newFlowsPerStep;
                step();
            }
            ASSERT_TRUE(stepUntilSettled(maxSteps)) << "the change did not complete";
            openedFlows_ += newFlowsPerStep;
            step();
        }
        stopPackets();
        EXPECT_EQ(broken_, 0);
        EXPECT_LT(dropped_, packets_) << "no packet reached a server";
        FlowCounters counters = engines_.front()->counters();
        EXPECT_GT(counters.exceptions, 0) << "the changes moved no bucket of an open flow";
    }

    INSTANTIATE_TEST_SUITE_P(Engines, FlowThreadsChangeTest, testing::Values(1, 3));

    // Guards against packet threads that route by the tables from before an isolation, because packets are admitted
    // again before the engine has dropped those tables.
    TEST_F(FlowThreadsTest, NoRoutingBetweenIsolationAndSynchronization)
    {
        constexpr int rounds = 40;
        constexpr int maxSteps = 100;

        constexpr std::size_t serviceCount = 30;
        std::vector<std::pair<std::string, std::size_t>> services;
        services.reserve(serviceCount);
        for (std::size_t i = 0; i < serviceCount; ++i)
            services.emplace_back("service-" + std::to_string(i), 2);
        Configuration configuration = makeConfiguration(services);
        setAddresses(configuration);
        addEngines(1);
        Member other;
        other.name = "other";
        other.id = balancerIdOf(other.name);
        other.flowAddress = { loopback, firstFlowPort };
        other.state = MemberState::Dead;
        members_.push_back(other);
        apply(0, configuration);
        applyView(0);
        startPackets([this](std::mt19937_64& random) { routeNewFlow(random); });

        for (int round = 0; round < rounds; ++round) {
            SCOPED_TRACE(round);
            members_.back().state = MemberState::Dead;
            members_.front().state = MemberState::Joining;
            applyView(0);
            messages_.clear();
            ASSERT_TRUE(stepUntilSettled(maxSteps)) << "a single engine did not settle by itself";
            const std::uint64_t routed = routed_;
            awaitPackets(packetsPerStep);
            EXPECT_GT(routed_, routed);

            applyView(0, true);
            ++phase_;
            awaitPackets(packetsPerStep);
            members_.back().state = MemberState::Serving;
            applyView(0);
            awaitPackets(packetsPerStep);
            messages_.clear();
            ++phase_;
        }
        stopPackets();
        EXPECT_EQ(routedUnsynchronized_, 0);
    }

    // Guards against a wraparound of the idle time that expires an active flow, when a packet thread sets a later
    // second than the time of the tick that sweeps idle flows.
    TEST_F(FlowThreadsTest, FlowWithPacketDuringIdleSweepIsKept)
    {
        constexpr std::size_t flows = 200;
        constexpr int maxSteps = 100;

        addEngines(1);
        Configuration configuration = makeConfiguration({ { "tryon", 2 } });
        setAddresses(configuration);
        apply(0, configuration);
        applyView(0);
        ASSERT_TRUE(stepUntilSettled(maxSteps));

        const auto serverOf = [&](std::size_t flow, TimePoint when) {
            return engines_.front()->route({ clientOf(flow), addresses_.front(), {}, 0, false }, when).backendServer;
        };
        std::vector<BackendServerId> servers;
        for (std::size_t flow = 0; flow < flows; ++flow)
            servers.push_back(serverOf(flow, now()));
        serverNamed(configuration, "tryon-0").state = BackendServerState::Draining;
        ++version_;
        apply(0, configuration);
        ASSERT_TRUE(stepUntilSettled(maxSteps));

        while (now().time_since_epoch() % 1s != 1s - tickLength)
            step();
        const TimePoint tickTime = now();
        const TimePoint packetTime = tickTime + tickLength;
        for (std::size_t flow = 0; flow < flows; ++flow)
            EXPECT_EQ(serverOf(flow, packetTime), servers[flow]);
        engines_.front()->tick(tickTime);
        EXPECT_EQ(engines_.front()->counters().trackedFlows, flows);
        for (std::size_t flow = 0; flow < flows; ++flow)
            EXPECT_EQ(serverOf(flow, packetTime), servers[flow]);
    }

}
}
