#include "platform/ConfigurationText.h"

#include "platform/StoredValues.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <map>
#include <random>

namespace wisteriadock::platform {

namespace {

    using RoutesByName = std::map<std::string, FlowRoute>;

    FlowRoute route(std::uint32_t number, std::int64_t aim = 250)
    {
        return { fmt::format("r-{}", number), { 0xC6120000 + number, 443 }, { { "streams", 1 } },
            std::chrono::milliseconds(aim) };
    }

    ForwardingConfiguration configurationOf(std::uint64_t version, std::vector<FlowRoute> routes)
    {
        return { version, std::move(routes), std::chrono::seconds(15) };
    }

    // Stands in for the table of routes.
    struct Table {
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

    std::vector<FlowRoute> routesTo(std::uint32_t count)
    {
        std::vector<FlowRoute> routes;
        for (std::uint32_t number = 1; number <= count; ++number)
            routes.push_back(route(number));
        return routes;
    }

    // Symptom: at each change of one route of 10,000 no packet was handled for 1.1 to 2.3 s on a VM with 0.038 of a
    // core. Sequence: the operators write the whole configuration anew; each balancer reads it and builds its table
    // anew. Cause: reading took its time for the whole and not for the change. Evidence: the balancers had the version
    // 0 ms after their zone's watcher; all the rest of the time to its being in force went to reading.
    TEST(ConfigurationTextTest, onlyWhatChangedIsReadAnew)
    {
        Table table;
        std::vector<FlowRoute> routes = routesTo(1000);
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
            SCOPED_TRACE("only the version");
            EXPECT_EQ(readAndCount(3), 0U);
        }
        {
            SCOPED_TRACE("routes more, in the middle and at the end");
            routes.insert(routes.begin() + 300, { route(2001), route(2002), route(2003) });
            routes.push_back(route(2004));
            EXPECT_EQ(readAndCount(4), 4U);
        }
        {
            SCOPED_TRACE("routes gone, one and many in a row");
            routes.erase(routes.begin());
            routes.erase(routes.begin() + 100, routes.begin() + 150);
            routes.pop_back();
            EXPECT_EQ(readAndCount(5), 52U);
        }
    }

    TEST(ConfigurationTextTest, aVersionThatDidNotComeIntoForceIsNoBasis)
    {
        Table table;
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(5, routesTo(3)))));
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(4, routesTo(9)))));
        table.reader.reset();
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(6, routesTo(4)))));
        EXPECT_TRUE(table.wasWhole);
        EXPECT_EQ(table.routes.size(), 4U);
    }

    TEST(ConfigurationTextTest, aTextThatCannotBeReadLeavesTheReaderAsItWas)
    {
        Table table;
        const std::string good = encodeConfiguration(configurationOf(1, routesTo(5)));
        ASSERT_TRUE(table.read(good));
        std::string badRoute = good;
        badRoute.replace(badRoute.find("/443/"), 5, "/abc/");
        for (const std::string& bad : { std::string("{"), good.substr(0, good.size() - 1), good + "x", badRoute,
                 std::string("{\"routes\":[]}"), std::string("{\"routes\":[") }) {
            const auto change = table.reader.read(bad);
            ASSERT_FALSE(change) << bad;
            EXPECT_EQ(change.error().code, ErrorCode::InvalidArgument);
        }
        ASSERT_TRUE(table.read(encodeConfiguration(configurationOf(2, routesTo(6)))));
        EXPECT_EQ(table.changes, 1U);
    }

    TEST(ConfigurationTextTest, otherLayoutsAreReadToo)
    {
        Table table;
        const std::string plain = encodeConfiguration(configurationOf(1, routesTo(3)));
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
            SCOPED_TRACE("of two routes with one address the last one counts");
            const auto change = table.reader.read(twice);
            ASSERT_TRUE(change);
            EXPECT_TRUE(change.value().isWhole);
            EXPECT_EQ(change.value().routes.size(), 3U);
        }
    }

    TEST(ConfigurationTextTest, anySeriesOfChangesEndsAsReadingTheLastOneWhole)
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            SCOPED_TRACE(seed);
            std::mt19937 random(seed);
            Table table;
            std::vector<FlowRoute> routes = routesTo(400);
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

    TEST(ConfigurationTextTest, changedTextsAreReadAsAWholeReadingDoesOrRefused)
    {
        std::mt19937 random(7);
        const std::string good = encodeConfiguration(configurationOf(1, routesTo(6)));
        Table table;
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

    // Guards against a text being read or refused by where in memory a control character lies.
    TEST(ConfigurationTextTest, aControlCharacterIsRefusedWhereverItStands)
    {
        const std::string good = encodeConfiguration(configurationOf(1, routesTo(2)));
        const std::size_t name = good.find("streams");
        for (std::size_t spaces = 0; spaces < 16; ++spaces) {
            std::string text = std::string(spaces, ' ') + good;
            text[spaces + name] = '\x1b';
            ConfigurationReader reader;
            EXPECT_FALSE(decodeConfiguration(text)) << spaces;
            EXPECT_FALSE(reader.read(text)) << spaces;
        }
    }

    // Guards against a rate of cold servers that is lost where only changes are read, or that stays when it is taken
    // away.
    TEST(ConfigurationTextTest, ratesOfColdServersAreThoseOfTheNewestVersion)
    {
        ForwardingConfiguration configuration = configurationOf(1, routesTo(3));
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

    // Guards against routes being refused with a service that can't be read.
    TEST(ConfigurationTextTest, servicesThatCannotBeReadNameNoRate)
    {
        for (const char* services : { "7", "[7]", R"([{"warmupPerS":3}])", R"([{"name":"streams","warmupPerS":"3"}])",
                 R"([{"name":"streams","warmupPerS":-1,"warmupS":2}])" }) {
            const std::string text = std::string(R"({"version":3,"routes":[],"services":)") + services + "}";
            const auto read = decodeConfiguration(text);
            ASSERT_TRUE(read) << services;
            EXPECT_TRUE(read.value().coldStartLimits.empty()) << services;
        }
    }

    // Symptom: routes that no operator had set were in force, and the configuration's own were not.
    // Sequence: a text holds an object with a list of its own named "routes", and its own list behind it is empty.
    // Cause: the first list of that name was taken for the configuration's, and what was left with an empty list in its
    // place looked like a configuration without routes.
    TEST(ConfigurationTextTest, aListOfTheSameNameInsideAnObjectIsNotTheRoutes)
    {
        const std::string inside = R"({"name":"r-9","hostname":"198.18.0.9","prefix":"/443/","service":"streams"})";
        const std::string text
            = R"({"version":3,"other":{"note":"a \"routes\":[ {","routes":[)" + inside + R"(]},"routes":[]})";
        Table table;
        ASSERT_TRUE(table.read(text));
        table.expectSameAs(text);
        {
            SCOPED_TRACE("also where the configuration has routes, of which only changes are read");
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
