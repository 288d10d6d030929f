#include "Forwarder/StoreUpdateApplier.h"

#include "Forward/ForwardFixture.h"
#include "platform/Adapter.h"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;
    using namespace std::string_literals;

    // Applies updates of the store to a router and reads the log lines that result.
    struct StoreUpdateApplierTest : testing::Test, ForwardFixture {
        std::array<int, 2> ends { -1, -1 };
        std::unique_ptr<EventLog> log;
        std::unique_ptr<ForwarderLog> lines;
        ForwarderMetrics metrics;
        std::unique_ptr<StoreUpdateApplier<platform::Adapter>> applier;

        StoreUpdateApplierTest()
        {
            EXPECT_EQ(::pipe(ends.data()), 0);
            ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
            log = std::make_unique<EventLog>(EventOrigin { "edge-1", "walu", 7 }, ends[1]);
            lines = std::make_unique<ForwarderLog>(*log);
            applier = std::make_unique<StoreUpdateApplier<platform::Adapter>>(router, *lines, metrics);
            router.applyConfiguration(configuration(3));
        }
        ~StoreUpdateApplierTest() override
        {
            ::close(ends[0]);
            ::close(ends[1]);
        }

        void apply(std::vector<StoreUpdate> items)
        {
            for (StoreUpdate& item : items)
                item.revision = ++revision;
            applier->apply({ std::move(items), false, "store", {}, revision }, clock.now());
        }

        // The lines written since the last call that hold this text.
        std::vector<std::string> takeLinesWith(const std::string& text)
        {
            log->buffer().flushAll();
            std::string output(65536, '\0');
            const ssize_t count = ::read(ends[0], output.data(), output.size());
            output.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
            std::vector<std::string> found;
            std::istringstream stream(output);
            for (std::string line; std::getline(stream, line);) {
                if (line.find(text) != std::string::npos)
                    found.push_back(line);
            }
            return found;
        }

        static StoreUpdate entryOf(const RegisteredServer& server)
        {
            return { platform::serverKeyOf(server.id), platform::encodeServer(server), 0, false };
        }

        std::size_t usableServers()
        {
            std::size_t usable = 0;
            for (const KnownServer* server : router.directory().serversOf("tryon"))
                usable += server->mayTakeFlows();
            return usable;
        }
    };

    // Guards against an entry of another writer that spoils the entries beside it or names a server to use.
    TEST_F(StoreUpdateApplierTest, EntryOfAnotherWriterNamesNoServerAndTheOthersHold)
    {
        const std::vector<std::string> foreign {
            "", "\xff\xfe\x00"s, R"({"service":"tryon"})",
            R"({"service":7,"address":"10.1.1.1:80","zone":"walu","version":"1","maxConcurrency":2,"state":"ready","warmupLeftMs":0,"sequence":1})",
            R"({"service":"tryon","address":"10.1.1.1:80","zone":"walu","version":"1","maxConcurrency":2,"state":"resting","warmupLeftMs":0,"sequence":1})"
        };
        for (const std::string& value : foreign) {
            SCOPED_TRACE(value);
            const RegisteredServer overwritten = server(1);
            apply({ entryOf(overwritten), entryOf(server(2)) });
            ASSERT_EQ(usableServers(), 2U);
            const std::uint32_t token = tokenOf(overwritten.number);
            takeLinesWith("refused");

            const std::string newKey = platform::serverKeyOf("i-00000000ff");
            apply({ { newKey, value, 0, false }, { platform::serverKeyOf(overwritten.id), value, 0, false },
                entryOf(server(3)) });
            EXPECT_EQ(usableServers(), 2U);
            EXPECT_EQ(route(data(1, token)).verdict, PacketVerdict::Forward);
            for (std::uint32_t caller = 100; caller < 120; ++caller)
                EXPECT_NE(route(opening(caller)).server->token, token);
            const auto refused = takeLinesWith("refused");
            ASSERT_EQ(refused.size(), 2U);
            EXPECT_NE(refused[0].find(newKey), std::string::npos);
            EXPECT_NE(refused[1].find(platform::serverKeyOf(overwritten.id)), std::string::npos);

            apply({ { platform::serverKeyOf(server(3).id), {}, 0, true } });
            clock.advance(100s);
            router.tick(clock.now());
        }
    }

    // Guards against flows that reach the service that has a server's former address, while another server starts again
    // under its id and a third entry is overwritten.
    TEST_F(StoreUpdateApplierTest, AddressIsReusedBesideARestartAndAForeignEntry)
    {
        RegisteredServer replaced = server(1);
        RegisteredServer restarted = server(2);
        for (RegisteredServer* each : { &replaced, &restarted })
            each->startedAt = 1'770'000'000'000;
        apply({ entryOf(replaced), entryOf(restarted), entryOf(server(3)) });
        clock.advance(3s);

        RegisteredServer successor = server(9, "scanintake");
        successor.address = replaced.address;
        successor.startedAt = replaced.startedAt + 60'000;
        RegisteredServer again = restarted;
        again.startedAt += 60'000;
        apply(
            { entryOf(successor), entryOf(again), { platform::serverKeyOf(server(3).id), "half an entry", 0, false } });
        EXPECT_EQ(route(data(1, tokenOf(replaced.number))).verdict, PacketVerdict::Forward);
        EXPECT_EQ(usableServers(), 1U);
        apply({ { platform::serverKeyOf(replaced.id), {}, 0, true } });
        clock.advance(1s);
        router.tick(clock.now());
        EXPECT_EQ(route(data(1, tokenOf(replaced.number))).reason, PacketReason::ServerEnded);
        EXPECT_EQ(usableServers(), 1U);
        {
            SCOPED_TRACE("a delayed write of the former process changes nothing");
            apply({ entryOf(restarted), entryOf(replaced) });
            EXPECT_EQ(router.directory().find(restarted.id)->entry.startedAt, again.startedAt);
            EXPECT_EQ(router.directory().find(replaced.id)->state, ServerState::Ended);
        }
        for (std::uint32_t caller = 100; caller < 120; ++caller)
            EXPECT_EQ(route(opening(caller)).server->entry.id, restarted.id);
    }

    // Guards against a conflict that operators can't find, and against a held entry that a configuration does not free.
    TEST_F(StoreUpdateApplierTest, ConflictsAreLoggedOnceAndHeldEntriesAppliedByTheConfiguration)
    {
        apply({ entryOf(server(1)), entryOf(server(2)) });
        RegisteredServer copy = server(9, "later");
        copy.address = server(1).address;
        apply({ entryOf(copy) });
        apply({ entryOf(copy) });
        const auto logged = takeLinesWith("entry_conflict");
        ASSERT_EQ(logged.size(), 1U);
        EXPECT_NE(logged[0].find(copy.id), std::string::npos);
        EXPECT_NE(logged[0].find("service_not_named"), std::string::npos);
        EXPECT_EQ(usableServers(), 2U);
        EXPECT_EQ(router.directory().find(copy.id), nullptr);

        ForwardingConfiguration next = configuration(4);
        next.routes.push_back({ "later", { 0xC6120003, 8443 }, { { "later", 1 } } });
        clock.advance(3s);
        apply({ { std::string(platform::configurationKey), platform::encodeConfiguration(next), 0, false } });
        ASSERT_NE(router.directory().find(copy.id), nullptr);
        EXPECT_FALSE(router.directory().find(copy.id)->mayTakeFlows());
        const auto contested = takeLinesWith("entry_conflict");
        ASSERT_EQ(contested.size(), 1U);
        EXPECT_NE(contested[0].find(server(1).id), std::string::npos);
        EXPECT_NE(contested[0].find("address_in_use"), std::string::npos);
    }

}

}
