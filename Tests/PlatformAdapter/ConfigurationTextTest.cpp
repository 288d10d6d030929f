#include "platform/ConfigurationText.h"

#include "platform/StoredValues.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <map>
#include <random>

namespace wisteriadock::platform {

namespace {

    using RoutesByName = std::map<std::string, FlowRoute>;

    FlowRoute route(std::uint32_t number, std::int64_t targetLatency = 250)
    {
        return { fmt::format("r-{}", number), { 0xC6120000 + number, 443 }, { { "streams", 1 } },
            std::chrono::milliseconds(targetLatency) };
    }

    ForwardingConfiguration configurationOf(std::uint64_t version, std::vector<FlowRoute> routes)
    {
        return { version, std::move(routes), std::chrono::seconds(15) };
    }

    // Applies the changes of a ConfigurationReader like the forwarder's table of routes.
    struct RouteTable {
        ConfigurationReader reader;
        std::map<std::uint32_t, FlowRoute> routes;
        std::uint64_t version = 0;
        std::size_t changes = 0;
        bool wasWhole = false;

        bool read(const std::string& text)
        {
            const auto change = reader.read(text);
            if (!change)
                return false;
            wasWhole = change.value().isWhole;
            changes = change.value().routes.size() + change.value().removed.size();
            version = change.value().version;
            if (wasWhole)
                routes.clear();
            for (const Endpoint address : change.value().removed)
                EXPECT_EQ(routes.erase(address.address), 1U);
            for (const FlowRoute& changed : change.value().routes)
                routes[changed.address.address] = changed;
            EXPECT_EQ(routes.size(), change.value().total);
            return true;
        }

        void expectSameAs(const std::string& text) const
        {
            const auto whole = decodeConfiguration(text);
            ASSERT_TRUE(whole);
            EXPECT_EQ(version, whole.value().version);
            EXPECT_EQ(routes.size(), whole.value().routes.size());
            for (const FlowRoute& expected : whole.value().routes) {
                const auto found = routes.find(expected.address.address);
                ASSERT_NE(found, routes.end());
                EXPECT_EQ(found->second, expected);
            }
        }
    };

    std::vector<FlowRoute> makeRoutes(std::uint32_t count)
    {
        std::vector<FlowRoute> routes;
        for (std::uint32_t number = 1; number <= count; ++number)
            routes.push_back(route(number));
        return routes;
    }

    // Guards against parsing all routes when one route changes, which blocks packet handling on slow VMs.
    TEST(ConfigurationTextTest, OnlyChangedRoutesAreParsed)
    {
        RouteTable table;
        std::vector<FlowRoute> routes = makeRoutes(1000);
        const auto readAndCount = [&](std::uint64_t version) {
            const std::string text = encodeConfiguration(configurationOf(version, routes));
            EXPECT_TRUE(table.read(text));
            table.expectSameAs(text);
            return table.changes;
        };
        EXPECT_EQ(readAndCount(1), 1000U);
        EXPECT_TRUE(table.wasWhole);
        routes[500] = route(501, 900);
        EXPECT_EQ(readAndCount(2), 1U);
        EXPECT_FALSE(table.wasWhole);
        {
            SCOPED_TRACE("new version without other changes");
            EXPECT_EQ(readAndCount(3), 0U);
        }
        {
            SCOPED_TRACE("routes added in the middle and at the end");
            routes.insert(routes.begin() + 300, { route(2001), route(2002), route(2003) });
            routes.push_back(route(2004));
            EXPECT_EQ(readAndCount(4), 4U);
        }
        {
            SCOPED_TRACE("routes removed, single and consecutive ones");
            routes.erase(routes.begin());
            routes.erase(routes.begin() + 100, routes.begin() + 150);
            routes.pop_back();
            EXPECT_EQ(readAndCount(5), 52U);
        }
    }

    TEST(ConfigurationTextTest, ResetAfterRejectedVersion)
    {
        RouteTable table;
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(5, makeRoutes(3)))));
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(4, makeRoutes(9)))));
        table.reader.reset();
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(6, makeRoutes(4)))));
        EXPECT_TRUE(table.wasWhole);
        EXPECT_EQ(table.routes.size(), 4U);
    }

    TEST(ConfigurationTextTest, FailedReadKeepsState)
    {
        RouteTable table;
        const std::string good = encodeConfiguration(configurationOf(1, makeRoutes(5)));
        ASSERT_TRUE(table.read(good));
        std::string badRoute = good;
        badRoute.replace(badRoute.find("/443/"), 5, "/abc/");
        for (const std::string& bad : { std::string("{"), good.substr(0, good.size() - 1), good + "x", badRoute,
                 std::string("{\"routes\":[]}"), std::string("{\"routes\":[") }) {
            const auto change = table.reader.read(bad);
            ASSERT_FALSE(change) << bad;
            EXPECT_EQ(change.error().code, ErrorCode::InvalidArgument);
        }
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(2, makeRoutes(6)))));
        EXPECT_EQ(table.changes, 1U);
    }

    TEST(ConfigurationTextTest, OtherTextLayouts)
    {
        RouteTable table;
        const std::string plain = encodeConfiguration(configurationOf(1, makeRoutes(3)));
        std::string spaced = plain;
        for (std::size_t at = 0; (at = spaced.find(',', at)) != std::string::npos; at += 2)
            spaced.replace(at, 1, ", ");
        std::string nested = plain;
        nested.replace(0, 1, R"({"groups":[{"routes":[]}],)");
        std::string twice = encodeConfiguration(configurationOf(1, { route(1), route(2), route(1, 700) }));
        std::string foreign = plain;
        foreign.replace(foreign.find("r-2"), 3, "r-\xC3\xBC");
        for (const std::string& text : { spaced, plain, nested, foreign, plain }) {
            ASSERT_TRUE(table.read(text)) << text;
            table.expectSameAs(text);
        }
        {
            SCOPED_TRACE("two routes with the same address");
            const auto change = table.reader.read(twice);
            ASSERT_TRUE(change);
            EXPECT_TRUE(change.value().isWhole);
            EXPECT_EQ(change.value().routes.size(), 3U);
        }
    }

    TEST(ConfigurationTextTest, RandomChangesMatchFullDecoding)
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            SCOPED_TRACE(seed);
            std::mt19937 random(seed);
            RouteTable table;
            std::vector<FlowRoute> routes = makeRoutes(400);
            std::uint32_t newest = 400;
            for (std::uint64_t version = 1; version <= 60; ++version) {
                for (std::uint32_t i = random() % 4; i > 0; --i)
                    routes[random() % routes.size()].targetLatency = std::chrono::milliseconds(random() % 1000);
                for (std::uint32_t i = random() % 3; i > 0; --i)
                    routes.insert(routes.begin() + random() % routes.size(), route(++newest));
                for (std::uint32_t i = random() % 3; i > 0; --i)
                    routes.erase(routes.begin() + random() % routes.size());
                if (random() % 10 == 0)
                    std::swap(routes[random() % routes.size()], routes[random() % routes.size()]);
                if (random() % 20 == 0)
                    routes.erase(routes.begin(), routes.begin() + random() % (routes.size() / 2));
                const std::string text = encodeConfiguration(configurationOf(version, routes));
                ASSERT_TRUE(table.read(text));
                table.expectSameAs(text);
            }
        }
    }

    TEST(ConfigurationTextTest, MutatedTextsMatchFullDecoding)
    {
        std::mt19937 random(7);
        const std::string good = encodeConfiguration(configurationOf(1, makeRoutes(6)));
        RouteTable table;
        ASSERT_TRUE(table.read(good));
        for (int round = 0; round < 20000; ++round) {
            std::string text = good;
            for (std::uint32_t i = 1 + random() % 3; i > 0; --i)
                text[random() % text.size()] = static_cast<char>(random() % 128);
            const auto whole = decodeConfiguration(text);
            ConfigurationReader reader;
            ASSERT_TRUE(reader.read(good));
            const auto change = reader.read(text);
            ASSERT_EQ(bool(change), bool(whole)) << text;
            if (change) {
                EXPECT_EQ(change.value().version, whole.value().version);
                EXPECT_EQ(change.value().total, whole.value().routes.size());
            }
        }
    }

    // Guards against control characters being accepted or refused depending on their alignment in memory.
    TEST(ConfigurationTextTest, ControlCharactersAreRefused)
    {
        const std::string good = encodeConfiguration(configurationOf(1, makeRoutes(2)));
        const std::size_t name = good.find("streams");
        for (std::size_t spaces = 0; spaces < 16; ++spaces) {
            std::string text = std::string(spaces, ' ') + good;
            text[spaces + name] = '\x1b';
            ConfigurationReader reader;
            EXPECT_FALSE(decodeConfiguration(text)) << spaces;
            EXPECT_FALSE(reader.read(text)) << spaces;
        }
    }

    // Guards against losing cold start limits when only changes are parsed, and against keeping removed ones.
    TEST(ConfigurationTextTest, ColdStartLimitsOfNewestVersion)
    {
        ForwardingConfiguration configuration = configurationOf(1, makeRoutes(3));
        configuration.coldStartLimits["streams"] = { std::chrono::milliseconds(2500), 12.5 };
        ConfigurationReader reader;
        EXPECT_EQ(
            reader.read(encodeConfiguration(configuration)).value().coldStartLimits, configuration.coldStartLimits);
        configuration.version = 2;
        configuration.coldStartLimits["streams"].flowsPerSecond = 3;
        EXPECT_EQ(
            reader.read(encodeConfiguration(configuration)).value().coldStartLimits, configuration.coldStartLimits);
        configuration.version = 3;
        configuration.coldStartLimits["streams"].flowsPerSecond = 0;
        EXPECT_TRUE(reader.read(encodeConfiguration(configuration)).value().coldStartLimits.empty());
    }

    // Guards against refusing the routes because of a malformed service.
    TEST(ConfigurationTextTest, MalformedServicesHaveNoLimit)
    {
        for (const char* services : { "7", "[7]", R"([{"warmupPerS":3}])", R"([{"name":"streams","warmupPerS":"3"}])",
                 R"([{"name":"streams","warmupPerS":-1,"warmupS":2}])" }) {
            const std::string text = std::string(R"({"version":3,"routes":[],"services":)") + services + "}";
            const auto read = decodeConfiguration(text);
            ASSERT_TRUE(read) << services;
            EXPECT_TRUE(read.value().coldStartLimits.empty()) << services;
        }
    }

    // Guards against routes of which nobody knows how urgent they are, and against losing the names of services.
    TEST(ConfigurationTextTest, PrioritiesAndServicesOfNewestVersion)
    {
        const auto textOf = [](int version, const std::string& priority, const std::string& services) {
            return R"({"version":)" + std::to_string(version)
                + R"(,"routes":[{"name":"r-1","hostname":"198.18.0.1","prefix":"/443/","service":"streams")" + priority
                + R"(}],"services":)" + services + "}";
        };
        ConfigurationReader reader;
        auto read = reader.read(textOf(1, R"(,"priority":2)", R"([{"name":"streams"},{"name":"scans"},7])"));
        ASSERT_TRUE(read);
        EXPECT_EQ(read.value().routes.front().priority, 2U);
        EXPECT_TRUE(read.value().services.contains("streams") && read.value().services.contains("scans"));
        {
            SCOPED_TRACE("a difference holds all services, also those of unchanged routes");
            read = reader.read(textOf(2, R"(,"priority":2)", R"([{"name":"scans"}])"));
            ASSERT_TRUE(read);
            EXPECT_TRUE(read.value().routes.empty());
            EXPECT_EQ(read.value().services.size(), 1U);
        }
        {
            SCOPED_TRACE("a missing priority is the most urgent one, and a malformed one as well");
            for (const char* priority : { "", R"(,"priority":"2")", R"(,"priority":-1)" }) {
                read = reader.read(textOf(3, priority, "[]"));
                ASSERT_TRUE(read);
                EXPECT_EQ(read.value().routes.front().priority, 0U) << priority;
            }
        }
    }

    // Guards against taking a list named "routes" in a nested object for the routes of the configuration.
    TEST(ConfigurationTextTest, NestedListNamedRoutes)
    {
        const std::string inside = R"({"name":"r-9","hostname":"198.18.0.9","prefix":"/443/","service":"streams"})";
        const std::string text
            = R"({"version":3,"other":{"note":"a \"routes\":[ {","routes":[)" + inside + R"(]},"routes":[]})";
        RouteTable table;
        ASSERT_TRUE(table.read(text));
        table.expectSameAs(text);
        {
            SCOPED_TRACE("nested list before routes that are unchanged");
            std::string good = encodeConfiguration(configurationOf(4, { route(1), route(2) }));
            good.insert(1, R"("a":{"routes":[)" + inside + "]},");
            ASSERT_TRUE(table.read(good));
            table.expectSameAs(good);
            ASSERT_TRUE(table.read(good));
            table.expectSameAs(good);
            EXPECT_EQ(table.changes, 0U);
        }
    }

}

}
