#include "StoreSync/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A server with its actual state, which the store may not know.
    struct TestServer {
        RegisteredServer entry;
        bool isAlive = true;
        TimePoint drainingSince = TimePoint::max();
    };

    struct TestFlow {
        TokenPacket opening;
        std::uint32_t token = 0;
        std::size_t server = 0;
    };

    // Runs a simulation with a seeded schedule of faults and checks the routing decisions.
    class RandomFaultRun {
    public:
        enum class Restores { No, Yes };

        explicit RandomFaultRun(std::uint32_t seed, Restores restores = Restores::No)
            : fleet_(seed)
            , hasRestores_(restores == Restores::Yes)
        {
            for (std::size_t i = 0; i < 8; ++i)
                addServer(i % 2 == 0 ? "tryon" : "scanintake", i % 4 < 2 ? "walu" : "nabua", 0);
            fleet_.writeConfiguration(version_ = 2, services_);
            recordConfiguration();
            fleet_.advance(3s);
        }

        void run()
        {
            for (int step = 0; step < 60; ++step) {
                if (hasRestores_)
                    restoreOrRewrite(step);
                injectFault();
                for (int i = 0; i < 5; ++i) {
                    openFlow();
                    useFlow();
                    fleet_.advance(50ms);
                }
            }
            recover();
        }

    private:
        std::uint32_t draw(std::uint32_t below) { return fleet_.random()() % below; }

        void addServer(const std::string& service, const std::string& zone, std::uint32_t host)
        {
            const std::uint64_t number = ++nextNumber_;
            servers_.push_back({ ForwardFixture::server(
                number * 0x10001, service, zone, host == 0 ? static_cast<std::uint32_t>(number) : host) });
            fleet_.writeServer(servers_.back().entry);
        }

        void recordConfiguration()
        {
            for (std::size_t i = 0; i < services_.size(); ++i)
                allowedServices_.insert({ FleetSimulation::routeOf(i), services_[i] });
        }

        // The store comes back from a copy that is up to 3 s old. What was lost is written again 0.25 s later.
        void restoreOrRewrite(int step)
        {
            constexpr std::size_t maxCopies = 12;
            copies_.push_back(fleet_.copyStore());
            if (copies_.size() > maxCopies)
                copies_.erase(copies_.begin());
            if (rewriteAtStep_ == step)
                rewrite();
            if (draw(10) != 0)
                return;
            const std::size_t chosen = draw(static_cast<std::uint32_t>(copies_.size()));
            fleet_.restoreStore(copies_[chosen]);
            copies_.resize(chosen + 1);
            rewriteAtStep_ = step + 1;
        }

        void rewrite()
        {
            fleet_.writeConfiguration(version_, services_);
            for (const TestServer& server : servers_) {
                if (server.isAlive)
                    fleet_.writeServer(server.entry);
                else
                    fleet_.removeServer(server.entry);
            }
        }

        void injectFault()
        {
            auto& balancer = fleet_.balancers()[draw(6)];
            const std::size_t index = static_cast<std::size_t>(&balancer - fleet_.balancers().data());
            const std::size_t target = draw(static_cast<std::uint32_t>(servers_.size()));
            TestServer& server = servers_[target];
            switch (draw(14)) {
            case 0:
                return fleet_.start(index);
            case 1:
                // A frozen balancer loses its pending calls, and is started again at the end only.
                balancer.isFrozen = !hasRestores_ && !balancer.isFrozen;
                return;
            case 2:
                balancer.isRejectedByStore = !balancer.isRejectedByStore;
                return;
            case 3:
                fleet_.isStoreDown = !fleet_.isStoreDown;
                return;
            case 4:
                return fleet_.compactHistory();
            case 5:
                fleet_.lossRate = draw(2) * 0.3;
                return;
            case 6:
            case 7:
                services_[draw(4)] = std::array<const char*, 3> { "tryon", "scanintake", "" }[draw(3)];
                fleet_.writeConfiguration(version_ += 1 + draw(5), services_);
                return recordConfiguration();
            case 8:
            case 9: {
                if (!server.isAlive || server.entry.readiness == ServerReadiness::Draining)
                    return;
                server.entry.readiness = ServerReadiness::Draining;
                server.drainingSince = fleet_.now();
                fleet_.writeServer(server.entry);
                const RegisteredServer entry = server.entry;
                return addServer(entry.service, entry.availabilityZone, 0);
            }
            case 10: {
                // The server dies, and a server of the other service gets its address while its entry still exists.
                if (!server.isAlive)
                    return;
                server.isAlive = false;
                const RegisteredServer entry = server.entry;
                addServer(entry.service == "tryon" ? "scanintake" : "tryon", entry.availabilityZone,
                    entry.address.address - 0x0A800000);
                fleet_.removeServer(entry);
                return addServer(entry.service, entry.availabilityZone, 0);
            }
            case 11:
                // The entry of a live server lapses; it registers again later.
                fleet_.removeServer(server.entry);
                return;
            case 12:
                if (server.isAlive)
                    fleet_.writeServer(server.entry);
                return;
            default:
                return;
            }
        }

        void openFlow()
        {
            auto& balancer = fleet_.balancers()[draw(6)];
            if (balancer.isFrozen)
                return;
            const std::size_t route = draw(4);
            TokenPacket packet = ForwardFixture::opening(++nextCaller_, draw(3), FleetSimulation::routeOf(route));
            const PacketDecision decision = balancer.router->route(packet, fleet_.now());
            if (decision.verdict != PacketVerdict::Forward)
                return;
            const RegisteredServer& chosen = decision.server->entry;
            EXPECT_TRUE(allowedServices_.contains({ packet.ends.route, chosen.service }))
                << chosen.service << " never had " << packet.ends.route.toString();
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                if (servers_[i].entry.id == chosen.id && servers_[i].isAlive)
                    flows_.push_back({ packet, decision.server->token, i });
            }
        }

        // Sends a packet of an open flow to any balancer. It may be forwarded only to its server, and must not be reset
        // while that server lives.
        void useFlow()
        {
            if (flows_.empty())
                return;
            const TestFlow& flow = flows_[draw(static_cast<std::uint32_t>(flows_.size()))];
            auto& balancer = fleet_.balancers()[draw(6)];
            if (balancer.isFrozen)
                return;
            TokenPacket packet = flow.opening;
            packet.opens = false;
            packet.acknowledges = true;
            packet.token = flow.token;
            packet.payloadBytes = 10;
            const PacketDecision decision = balancer.router->route(packet, fleet_.now());
            const TestServer& server = servers_[flow.server];
            if (decision.verdict == PacketVerdict::Forward) {
                EXPECT_EQ(decision.server->entry.id, server.entry.id);
            }
            if (server.isAlive) {
                EXPECT_NE(decision.verdict, PacketVerdict::Reset) << server.entry.id;
            }
        }

        // Ends all faults and restarts all balancers. Checks that each of them soon has the newest state and sends new
        // flows to live servers of the newest configuration.
        void recover()
        {
            fleet_.isStoreDown = false;
            fleet_.lossRate = 0;
            for (auto& balancer : fleet_.balancers()) {
                balancer.isRejectedByStore = false;
                balancer.isFrozen = false;
            }
            // Entries that vanished in the outage that ends here are in doubt for two seconds after the watchers have
            // noticed its end, which takes up to a second, and until the store has been asked once more.
            if (hasRestores_)
                expectNewestStateAfter(5s);
            for (std::size_t i = 0; i < fleet_.balancers().size(); ++i) {
                // The pending calls of a frozen balancer are lost; in the daemon they would time out.
                fleet_.start(i);
            }
            expectNewestStateAfter(3s);
        }

        void expectNewestStateAfter(Duration time)
        {
            for (const TestServer& server : servers_) {
                if (server.isAlive)
                    fleet_.writeServer(server.entry);
            }
            if (hasRestores_)
                rewrite();
            fleet_.advance(time);
            for (auto& balancer : fleet_.balancers()) {
                EXPECT_EQ(balancer.sync->replica().completeTo(), fleet_.revision()) << balancer.name;
                EXPECT_EQ(balancer.router->configurationVersion(), version_) << balancer.name;
                expectValidChoices(*balancer.router);
            }
            EXPECT_EQ(fleet_.regressions(), 0U);
        }

        void expectValidChoices(TokenRouter& router)
        {
            for (std::size_t route = 0; route < services_.size(); ++route) {
                for (int i = 0; i < 10; ++i) {
                    const TokenPacket packet
                        = ForwardFixture::opening(++nextCaller_, 0, FleetSimulation::routeOf(route));
                    const PacketDecision decision = router.route(packet, fleet_.now());
                    if (decision.verdict != PacketVerdict::Forward) {
                        EXPECT_TRUE(services_[route].empty() || decision.reason == PacketReason::NoServer);
                        continue;
                    }
                    EXPECT_EQ(decision.server->entry.service, services_[route]);
                    const auto server = std::ranges::find_if(
                        servers_, [&](const TestServer& other) { return other.entry.id == decision.server->entry.id; });
                    EXPECT_TRUE(server->isAlive) << server->entry.id << " " << nameOf(decision.server->state);
                    EXPECT_EQ(server->entry.readiness, ServerReadiness::Ready) << server->entry.id;
                }
            }
        }

        FleetSimulation fleet_;
        std::vector<TestServer> servers_;
        std::vector<TestFlow> flows_;
        std::vector<std::string> services_ { "tryon", "scanintake", "tryon", "" };
        std::set<std::pair<Endpoint, std::string>> allowedServices_;
        std::uint64_t version_ = 0;
        std::uint64_t nextNumber_ = 0;
        std::uint32_t nextCaller_ = 0;
        const bool hasRestores_ = false;
        std::vector<FleetSimulation::StoreCopy> copies_;
        std::optional<int> rewriteAtStep_;
    };

    TEST(RandomFaultsTest, FlowsAndConfigurationsSurviveSeededFaults)
    {
        for (std::uint32_t seed = 1; seed <= 300; ++seed) {
            SCOPED_TRACE(seed);
            RandomFaultRun(seed).run();
            if (HasFailure())
                break;
        }
    }

    // Guards against balancers that keep what a restore of the store has undone, or miss what is written after it, in
    // any order with other faults.
    TEST(RandomFaultsTest, NewestStateIsReachedAfterSeededRestoresOfTheStore)
    {
        for (std::uint32_t seed = 1; seed <= 300; ++seed) {
            SCOPED_TRACE(seed);
            RandomFaultRun(seed, RandomFaultRun::Restores::Yes).run();
            if (HasFailure())
                break;
        }
    }

    // Guards against new flows without a server when all entries lapse in an outage, and the store is lost again before
    // the servers have registered again.
    TEST(RandomFaultsTest, LapsedServersStayInUseWhileTheStoreIsUnreachable)
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            SCOPED_TRACE(seed);
            FleetSimulation fleet(seed);
            fleet.writeConfiguration(2, { "tryon" });
            for (std::uint64_t number = 1; number <= 4; ++number)
                fleet.writeServer(ForwardFixture::server(number));
            fleet.advance(2s);
            for (std::uint64_t number = 1; number <= 4; ++number)
                fleet.removeServer(ForwardFixture::server(number));
            fleet.advance(300ms);
            fleet.isStoreDown = true;
            fleet.advance(5s);
            for (auto& balancer : fleet.balancers()) {
                const TokenPacket packet = ForwardFixture::opening(1, 0, FleetSimulation::routeOf(0));
                const PacketDecision decision = balancer.router->route(packet, fleet.now());
                EXPECT_EQ(decision.verdict, PacketVerdict::Forward) << balancer.name;
            }
            fleet.isStoreDown = false;
            fleet.advance(5s);
            for (auto& balancer : fleet.balancers())
                EXPECT_EQ(balancer.router->directory().countOf(ServerState::Gone), 4U) << balancer.name;
        }
    }

    // Guards against a zone that stays at an old configuration while the store rejects all of its balancers.
    TEST(RandomFaultsTest, ZoneRejectedByTheStoreHasANewConfigurationWithinTwoSeconds)
    {
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            SCOPED_TRACE(seed);
            FleetSimulation fleet(seed);
            fleet.writeConfiguration(2, { "tryon" });
            fleet.advance(2s);
            for (auto& balancer : fleet.balancers())
                balancer.isRejectedByStore = balancer.availabilityZone == "nabua";
            fleet.advance(1s);
            fleet.writeConfiguration(7, { "scanintake" });
            fleet.advance(2s);
            for (auto& balancer : fleet.balancers())
                EXPECT_EQ(balancer.router->configurationVersion(), 7U) << balancer.name;
        }
    }

}

}
