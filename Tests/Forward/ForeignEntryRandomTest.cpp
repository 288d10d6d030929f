#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Live servers that write their entries and answer, a store that shows changed values only, and another writer that
    // writes and removes entries at random. Some open flows are idle, so that their servers show no sign of life.
    struct ForeignEntryRun : ForwardFixture {
        static constexpr auto step = 10ms;
        static constexpr auto writeInterval = 770ms;
        static constexpr std::uint64_t started = 1'770'000'000'000;

        struct Live {
            RegisteredServer entry;
            Duration untilWrite;
            bool isIdle = false;
            std::uint32_t acknowledged = 5001;
        };

        std::mt19937_64 random;
        std::vector<Live> servers;
        // Nothing for a value that can't be read.
        std::map<std::string, std::optional<RegisteredServer>> store;
        std::uint64_t version = 3;
        std::uint64_t foreignNumber = 100;
        std::string history;

        std::uint64_t draw(std::uint64_t limit) { return random() % limit; }

        static Endpoint routeOf(const std::string& service) { return service == "tryon" ? tryonRoute : scanRoute; }

        void start(std::uint64_t seed, bool haveStartTimes)
        {
            random.seed(seed);
            router.applyConfiguration(configuration(version));
            for (std::uint64_t number = 1; number <= 6; ++number) {
                Live live { server(number, number % 2 == 0 ? "tryon" : "scanintake"), step * draw(77), number > 3 };
                live.entry.startedAt = haveStartTimes ? started + number : 0;
                write(live.entry);
                servers.push_back(live);
            }
            for (int i = 0; i < 300; ++i)
                advance();
        }

        void write(const RegisteredServer& entry)
        {
            const auto held = store.find(entry.id);
            if (held != store.end() && held->second == entry)
                return;
            store[entry.id] = entry;
            put(entry);
        }

        void advance()
        {
            clock.advance(step);
            for (Live& live : servers) {
                live.untilWrite -= step;
                if (live.untilWrite <= 0ms) {
                    live.untilWrite += writeInterval;
                    write(live.entry);
                }
            }
            router.noteStoreContact(clock.now());
            if (clock.now().time_since_epoch() % 250ms == 0ms)
                router.tick(clock.now());
            check();
        }

        void check()
        {
            for (Live& live : servers) {
                live.acknowledged += live.isIdle ? 0 : 10;
                const auto caller = static_cast<std::uint32_t>(live.entry.number);
                const PacketDecision decision = route(
                    data(caller, tokenOf(live.entry.number), 1001, live.acknowledged, 0, routeOf(live.entry.service)));
                ASSERT_EQ(nameOf(decision.reason), "established") << live.entry.id << history;
                ASSERT_EQ(decision.server->entry.address, live.entry.address) << history;
                ASSERT_EQ(decision.server->entry.service, live.entry.service) << history;
            }
            // No service's requests may be sent to a server of another one.
            router.directory().forEach([&](const KnownServer& known) {
                for (const Live& live : servers) {
                    if (known.entry.address == live.entry.address && known.entry.service != live.entry.service) {
                        ASSERT_FALSE(known.mayTakeFlows()) << known.entry.id << history;
                    }
                }
            });
        }

        void actAsAnotherWriter()
        {
            static constexpr const char* services[] = { "tryon", "scanintake", "unnamed", "later" };
            const RegisteredServer& victim = servers[draw(servers.size())].entry;
            RegisteredServer entry = victim;
            if (draw(2) == 0) {
                foreignNumber += draw(2);
                entry.id = server(foreignNumber).id;
                entry.number = foreignNumber;
            }
            const std::uint64_t kind = draw(10);
            history += fmt::format("\n{} kind {} id {}", clock.now().time_since_epoch() / 1ms, kind, entry.id);
            if (kind == 0) {
                store[entry.id] = std::nullopt;
                router.invalidateServer(entry.id, ++revision, clock.now());
            } else if (kind == 1) {
                store.erase(entry.id);
                router.removeServer(entry.id, draw(2) == 0, clock.now());
            } else if (kind == 2) {
                ForwardingConfiguration next = configuration(++version);
                if (draw(4) == 0)
                    next.services.insert("later");
                router.applyConfiguration(next);
            } else if (kind == 3) {
                writeForEachServer(services[draw(4)]);
            } else {
                entry.service = services[draw(4)];
                const std::uint64_t age = draw(4);
                if (victim.startedAt != 0)
                    entry.startedAt = age == 0 ? 0 : age == 1 ? victim.startedAt : victim.startedAt - 500 + draw(1000);
                else if (age == 0)
                    entry.startedAt = started + draw(1000);
                if (draw(4) == 0)
                    entry.address = servers[draw(servers.size())].entry.address;
                // A drain notice is final for the process whose start time it has.
                if (entry.id != victim.id || entry.startedAt != victim.startedAt)
                    entry.readiness = draw(4) == 0 ? ServerReadiness::Draining : ServerReadiness::Ready;
                if (entry.startedAt == 0 && entry.id == victim.id && entry.service == victim.service)
                    entry.readiness = ServerReadiness::Ready;
                history += fmt::format(" service {} born {} port {} draining {}", entry.service, entry.startedAt,
                    entry.address.toString(), entry.readiness == ServerReadiness::Draining);
                store[entry.id] = entry;
                put(entry);
            }
        }

        // One entry without a start time at the address of each server.
        void writeForEachServer(const std::string& service)
        {
            for (const Live& live : servers) {
                RegisteredServer entry = live.entry;
                entry.number = ++foreignNumber;
                entry.id = server(foreignNumber).id;
                entry.startedAt = 0;
                entry.service = service;
                store[entry.id] = entry;
                put(entry);
            }
        }

        void expectAllServersGetFlows()
        {
            for (const Live& live : servers) {
                const KnownServer* known = router.directory().find(live.entry.id);
                ASSERT_NE(known, nullptr);
                EXPECT_TRUE(known->mayTakeFlows())
                    << live.entry.id << " is " << nameOf(known->state) << ", contested "
                    << (known->isContested ? (clock.now() - known->contestedSince) / 1ms : -1) << " ms" << history;
                EXPECT_EQ(known->entry.service, live.entry.service);
            }
        }
    };

    // Guards against any sequence of foreign entries, removals and configurations that resets an open flow of a live
    // server, sends requests to a server of another service, or keeps a server out of use for long.
    TEST(ForeignEntryRandomTest, ForeignEntriesNeverHarmLiveServers)
    {
        for (std::uint64_t seed = 1; seed <= 60 && !testing::Test::HasFailure(); ++seed) {
            SCOPED_TRACE(seed);
            ForeignEntryRun run;
            run.start(seed, seed % 3 != 0);
            for (int phase = 0; phase < 2 && !testing::Test::HasFailure(); ++phase) {
                const std::uint64_t actions = 1 + run.draw(25);
                for (std::uint64_t i = 0; i < actions && !testing::Test::HasFailure(); ++i) {
                    run.actAsAnotherWriter();
                    for (std::uint64_t steps = run.draw(120); steps > 0 && !testing::Test::HasFailure(); --steps)
                        run.advance();
                }
                // The hold time, one write interval, and the interval between two ticks.
                for (Duration passed {};
                     passed < 10s + ForeignEntryRun::writeInterval + 250ms && !testing::Test::HasFailure();
                     passed += ForeignEntryRun::step)
                    run.advance();
                run.expectAllServersGetFlows();
                run.history += "\nquiet";
            }
        }
    }

}

}
