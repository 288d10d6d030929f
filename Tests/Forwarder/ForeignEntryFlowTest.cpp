#include "Forwarder/StoreUpdateApplier.h"

#include "Forward/ForwardFixture.h"
#include "platform/Adapter.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <set>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    // Live servers with open flows, which write their entries into the store, and another writer beside them. From the
    // bytes of the entries to the decisions on packets.
    struct ForeignEntryFlowTest : testing::Test, ForwardFixture {
        static constexpr auto step = 10ms;
        static constexpr std::uint64_t started = 1'770'000'000'000;

        int logEnd = ::open("/dev/null", O_WRONLY);
        EventLog log { { "edge-1", "walu", 7 }, logEnd };
        ForwarderLog lines { log };
        ForwarderMetrics metrics;
        StoreUpdateApplier<platform::Adapter> applier { router, lines, metrics };
        std::vector<RegisteredServer> servers;
        std::uint32_t acknowledged = 5001;
        std::uint64_t foreignNumber = 0xF000;

        ForeignEntryFlowTest()
        {
            router.applyConfiguration(configuration(3));
            for (std::uint64_t number = 1; number <= 6; ++number) {
                servers.push_back(server(number, number <= 4 ? "tryon" : "scanintake"));
                servers.back().startedAt = started + number;
                write(servers.back().id, entryOf(servers.back()));
            }
            advance(5s);
        }
        ~ForeignEntryFlowTest() override { ::close(logEnd); }

        static Json entryOf(const RegisteredServer& server) { return Json::parse(platform::encodeServer(server)); }
        static Endpoint routeOf(const RegisteredServer& server)
        {
            return server.service == "tryon" ? tryonRoute : scanRoute;
        }
        std::string foreignId() { return server(++foreignNumber).id; }

        void write(const std::string& id, const Json& entry)
        {
            StoreUpdate update { platform::serverKeyOf(id), entry.dump(), ++revision, false };
            applier.apply({ { std::move(update) }, false, "store", {}, revision }, clock.now());
        }

        // Each server gets packets of its open flow and answers them.
        void advance(Duration time)
        {
            for (Duration passed {}; passed < time && !HasFailure(); passed += step) {
                clock.advance(step);
                router.noteStoreContact(clock.now());
                router.tick(clock.now());
                acknowledged += 10;
                for (const RegisteredServer& server : servers)
                    expectOpenFlow(server);
            }
        }

        void expectOpenFlow(const RegisteredServer& server)
        {
            const auto caller = static_cast<std::uint32_t>(server.number);
            const PacketDecision decision
                = route(data(caller, tokenOf(server.number), 1001, acknowledged, 100, routeOf(server)));
            ASSERT_EQ(nameOf(decision.reason), "established") << server.id;
            ASSERT_EQ(decision.server->entry.address, server.address);
        }

        // The ids of the servers that get new flows of the route.
        std::set<std::string> serversOfNewFlows(Endpoint address)
        {
            std::set<std::string> ids;
            for (std::uint32_t caller = 1000; caller < 1200; ++caller) {
                const PacketDecision decision = route(opening(caller, 0, address));
                if (decision.server)
                    ids.insert(decision.server->entry.id);
            }
            return ids;
        }

        std::set<std::string> idsOf(const std::string& service) const
        {
            std::set<std::string> ids;
            for (const RegisteredServer& server : servers) {
                if (server.service == service)
                    ids.insert(server.id);
            }
            return ids;
        }

        // All flows stay where they are, and all servers get new ones.
        void expectNoHarm()
        {
            for (const RegisteredServer& server : servers)
                expectOpenFlow(server);
            EXPECT_EQ(serversOfNewFlows(tryonRoute), idsOf("tryon"));
            EXPECT_EQ(serversOfNewFlows(scanRoute), idsOf("scanintake"));
        }
    };

    // Guards against open flows that are reset, and a live server that gets no new ones, because another writer's entry
    // names its address, a later start and a service that no configuration names.
    TEST_F(ForeignEntryFlowTest, EntryOfAnUnnamedServiceNeitherResetsFlowsOfALiveServerNorTakesItOutOfUse)
    {
        Json foreign = entryOf(servers.front());
        foreign["service"] = "another-writers-service";
        foreign["born"] = started + 60'000;
        write(foreignId(), foreign);
        expectNoHarm();
        advance(12s);
        expectNoHarm();
        {
            SCOPED_TRACE("one such entry for each server");
            for (const RegisteredServer& server : servers) {
                foreign = entryOf(server);
                foreign["service"] = "another-writers-service";
                foreign["born"] = started + 60'000;
                write(foreignId(), foreign);
            }
            expectNoHarm();
            advance(12s);
            expectNoHarm();
        }
    }

    // Guards against a service without new flows because entries of another writer, as many as there are servers or
    // more, lack a field that makes them look like successors of the servers at their addresses.
    TEST_F(ForeignEntryFlowTest, EntriesWithoutAStartTimeForEachServerTakeNoneOutOfUse)
    {
        for (const bool isOtherService : { false, true }) {
            SCOPED_TRACE(isOtherService);
            for (int round = 0; round < 3; ++round) {
                SCOPED_TRACE(round);
                for (const RegisteredServer& server : servers) {
                    Json foreign = entryOf(server);
                    foreign.erase("born");
                    if (isOtherService)
                        foreign["service"] = server.service == "tryon" ? "scanintake" : "tryon";
                    write(foreignId(), foreign);
                }
                expectNoHarm();
                advance(3s);
                expectNoHarm();
            }
        }
        advance(12s);
        expectNoHarm();
        {
            SCOPED_TRACE("also at a balancer that meets one for each server at once");
            TokenRouter starting(settings());
            StoreUpdateApplier<platform::Adapter> startingApplier { starting, lines, metrics };
            starting.applyConfiguration(configuration(3));
            ReplicaChanged listing { {}, false, "store", {}, ++revision };
            for (const RegisteredServer& server : servers) {
                RegisteredServer foreign = server;
                foreign.startedAt = 0;
                listing.items.push_back({ platform::serverKeyOf(foreignId()), entryOf(foreign).dump(), 0, false });
                listing.items.push_back({ platform::serverKeyOf(server.id), entryOf(server).dump(), 0, false });
            }
            startingApplier.apply(listing, clock.now());
            std::set<std::string> ids;
            for (std::uint32_t caller = 1000; caller < 1200; ++caller)
                ids.insert(starting.route(opening(caller), clock.now()).server->entry.id);
            EXPECT_EQ(ids, idsOf("tryon"));
        }
    }

}

}
