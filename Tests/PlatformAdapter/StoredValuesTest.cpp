#include "platform/StoredValues.h"
#include "platform/ConfigurationText.h"

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <random>

namespace wisteriadock::platform {

namespace {

    constexpr const char* entryText = R"({"service":"tryon7","address":"10.128.0.9:8080","zone":"walu","version":"v4",
        "maxConcurrency":3,"state":"draining","warmupLeftMs":1500,"sequence":9,"newField":{"a":1}})";

    constexpr const char* configurationText = R"({"version":41,"routes":[
        {"name":"r-1","hostname":"198.18.0.1","prefix":"/8443/","type":"idempotent","timeoutMs":1000,"service":"tryon7"},
        {"name":"r-2","hostname":"198.18.0.2","prefix":"/80/","type":"upload","backends":[
            {"service":"tryon7","weight":90},{"service":"scan2","weight":10}]}],
        "services":[],"limits":{"idleTimeoutMs":15000}})";

    TEST(StoredValuesTest, ServerEntryRoundTrip)
    {
        const auto server = decodeServer("i-7f3a91c2", entryText);
        ASSERT_TRUE(server) << server.error().toString();
        EXPECT_EQ(server.value().number, 0x7F3A91C2U);
        EXPECT_EQ(server.value().service, "tryon7");
        EXPECT_EQ(server.value().address, Endpoint::parse("10.128.0.9:8080").value());
        EXPECT_EQ(server.value().slots, 3U);
        EXPECT_EQ(server.value().readiness, ServerReadiness::Draining);
        EXPECT_EQ(server.value().warmupLeft, std::chrono::milliseconds(1500));
        const auto again = decodeServer("i-7f3a91c2", encodeServer(server.value()));
        EXPECT_EQ(again.value(), server.value());
    }

    TEST(StoredValuesTest, ConfigurationRoundTrip)
    {
        const auto configuration = decodeConfiguration(configurationText);
        ASSERT_TRUE(configuration) << configuration.error().toString();
        EXPECT_EQ(configuration.value().version, 41U);
        ASSERT_EQ(configuration.value().routes.size(), 2U);
        EXPECT_EQ(configuration.value().routes[0].address, Endpoint::parse("198.18.0.1:8443").value());
        EXPECT_EQ(configuration.value().routes[1].shares[1].service, "scan2");
        EXPECT_EQ(configuration.value().routes[1].shares[1].weight, 10U);
        EXPECT_EQ(configuration.value().idleTimeout, std::chrono::seconds(15));
        const auto again = decodeConfiguration(encodeConfiguration(configuration.value()));
        EXPECT_EQ(again.value().routes, configuration.value().routes);
    }

    TEST(StoredValuesTest, ErrorsNameTheField)
    {
        const auto expectProblem = [](const std::string& entry, const std::string& place) {
            const auto server = decodeServer("i-1", entry);
            ASSERT_FALSE(server) << entry;
            EXPECT_NE(server.error().detail.find(place), std::string::npos) << server.error().detail;
        };
        expectProblem("", "JSON object");
        expectProblem("[]", "JSON object");
        expectProblem(R"({"service":7})", "'service': found 7, expected a string");
        expectProblem(R"({"service":"a","address":"nowhere"})", "nowhere");
        expectProblem(
            R"({"service":"a","address":"1.2.3.4:5","zone":"z","maxConcurrency":-1})", "'maxConcurrency': found -1");
        expectProblem(R"({"service":"a","address":"1.2.3.4:5","zone":"z","maxConcurrency":1,"state":"tired"})",
            "'state': found 'tired', expected ready or draining");

        for (const char* route : { R"({"name":"r","hostname":"198.18.0.1","prefix":"8443","service":"a"})",
                 R"({"name":"r","hostname":"198.18.0.1","prefix":"/0/","service":"a"})",
                 R"({"name":"r","hostname":"198.18.0.1","prefix":"/99999/","service":"a"})",
                 R"({"name":"r","hostname":"example","prefix":"/80/","service":"a"})",
                 R"({"name":"r","hostname":"198.18.0.1","prefix":"/80/"})", "7" })
            EXPECT_FALSE(decodeConfiguration(std::string(R"({"version":1,"routes":[)") + route + "]}")) << route;
        EXPECT_FALSE(decodeConfiguration(R"({"routes":[]})"));
        EXPECT_FALSE(decodeConfiguration(R"({"version":1})"));
    }

    // Guards against using an entry in which any field is missing, of another type or out of range.
    TEST(StoredValuesTest, InvalidServerEntriesAreRefused)
    {
        const auto good = nlohmann::json::parse(entryText);
        ASSERT_TRUE(decodeServer("i-1", good.dump()));
        for (const char* field :
            { "service", "address", "zone", "version", "maxConcurrency", "state", "warmupLeftMs", "sequence" }) {
            SCOPED_TRACE(field);
            auto entry = good;
            entry.erase(field);
            EXPECT_FALSE(decodeServer("i-1", entry.dump()));
            for (const char* other : { "null", "true", "[]", "{}", "1.5", "-3", "\"\"", "\"half\"" }) {
                entry[field] = nlohmann::json::parse(other);
                const bool isText = entry[field] == "half";
                const bool isFreeText
                    = isText && std::string_view("service zone version").find(field) != std::string_view::npos;
                const bool isEmptyVersion = entry[field].is_string() && entry[field].get<std::string>().empty()
                    && std::string_view(field) == "version";
                EXPECT_EQ(bool(decodeServer("i-1", entry.dump())), isFreeText || isEmptyVersion) << other;
            }
        }
        const auto with = [&](const char* field, const nlohmann::json& value) {
            auto entry = good;
            entry[field] = value;
            return bool(decodeServer("i-1", entry.dump()));
        };
        EXPECT_FALSE(with("maxConcurrency", 0));
        EXPECT_FALSE(with("maxConcurrency", 4294967296));
        EXPECT_FALSE(with("warmupLeftMs", 18446744073709551615U));
        EXPECT_FALSE(with("address", "10.0.0.1:0"));
        EXPECT_FALSE(with("address", "0.0.0.0:80"));
        for (const char* id : { "zz", "i-0", "i-0123456789abcdef0", "---" })
            EXPECT_FALSE(decodeServer(id, entryText)) << id;
        for (const std::string& entry : invalidServerEntries())
            EXPECT_FALSE(decodeServer("i-1", entry)) << entry;
        for (const char* bytes : { "", "\xff\xfe", "[1]", "{\"service\":\"\xff\"}", "{\"service\":" })
            EXPECT_FALSE(decodeServer("i-1", bytes));
    }

    // Guards against one entry of another writer that ends every process which reads it, also after each restart.
    TEST(StoredValuesTest, DeeplyNestedFieldIsRefusedWithoutExhaustingTheStack)
    {
        // With its closing brackets, nearly the largest value that the store takes.
        constexpr std::size_t depth = 520'000;
        const std::string list = std::string(depth, '[') + std::string(depth, ']');
        std::string object;
        for (std::size_t i = 0; i < depth / 4; ++i)
            object += R"({"a":)";
        object += "1" + std::string(depth / 4, '}');
        const auto withField = [](const nlohmann::json& valid, const std::string& field, const std::string& text) {
            nlohmann::json rest = valid;
            rest.erase(field);
            return "{\"" + field + "\":" + text + "," + rest.dump().substr(1);
        };
        const auto entry = nlohmann::json::parse(entryText);
        const auto configuration = nlohmann::json::parse(configurationText);
        for (const char* field : { "service", "address", "zone", "version", "maxConcurrency", "state", "warmupLeftMs",
                 "sequence", "born" }) {
            SCOPED_TRACE(field);
            const auto server = decodeServer("i-1", withField(entry, field, list));
            ASSERT_FALSE(server);
            EXPECT_NE(server.error().detail.find(fmt::format("'{}': found a list", field)), std::string::npos);
            EXPECT_FALSE(decodeServer("i-1", withField(entry, field, object)));
        }
        EXPECT_FALSE(decodeServer("i-1", list));
        EXPECT_FALSE(decodeConfiguration(withField(configuration, "version", list)));
        EXPECT_FALSE(decodeConfiguration(withField(configuration, "routes", object)));
        EXPECT_FALSE(decodeConfiguration(R"({"version":1,"routes":[{"name":"r","hostname":)" + list + "}]}"));
    }

    TEST(StoredValuesTest, OptionalStartTime)
    {
        auto entry = nlohmann::json::parse(entryText);
        EXPECT_EQ(decodeServer("i-1", entry.dump()).value().startedAt, 0U);
        entry["born"] = 1770652919002;
        const auto server = decodeServer("i-1", entry.dump());
        ASSERT_TRUE(server);
        EXPECT_EQ(server.value().startedAt, 1770652919002U);
        EXPECT_EQ(decodeServer("i-1", encodeServer(server.value())).value(), server.value());
        for (const char* other :
            { "1770652919002.5", "\"1770652919002\"", "null", "-1", "0", "[1]", "99999999999999" }) {
            entry["born"] = nlohmann::json::parse(other);
            EXPECT_FALSE(decodeServer("i-1", entry.dump())) << other;
        }
    }

    TEST(StoredValuesTest, KeyPrefixes)
    {
        EXPECT_EQ(serverIdOf("servers/i-1"), "i-1");
        EXPECT_EQ(serverIdOf(serverKeyOf("i-2")), "i-2");
        EXPECT_FALSE(serverIdOf("servers/").has_value());
        EXPECT_FALSE(serverIdOf("op/config").has_value());
        EXPECT_EQ(evacuatedZoneOf("op/evacuate/walu"), "walu");
        EXPECT_EQ(evacuatedZoneOf(evacuatedZoneKeyOf("nabua")), "nabua");
        EXPECT_FALSE(evacuatedZoneOf("op/evacuate/").has_value());
        EXPECT_FALSE(evacuatedZoneOf("op/config").has_value());
        EXPECT_FALSE(serverIdOf("op/evacuate/walu").has_value());
    }

    // Guards against crashes on malformed values.
    TEST(StoredValuesTest, MutatedValues)
    {
        std::mt19937 random(11);
        const auto change = [&](std::string text) {
            for (std::uint32_t i = random() % 6; i > 0; --i)
                text[random() % text.size()] = static_cast<char>(random());
            text.resize(random() % 8 == 0 ? random() % text.size() : text.size());
            return text;
        };
        int read = 0;
        for (int round = 0; round < 20000; ++round) {
            read += bool(decodeServer("i-1", change(entryText)));
            read += bool(decodeConfiguration(change(configurationText)));
        }
        EXPECT_GT(read, 100);
    }

}

}
