#include "Configuration/ConfigurationParser.h"

#include "Configuration/ConfigurationLimits.h"
#include "Configuration/ConfigurationWriter.h"
#include "Configuration/ExampleConfiguration.h"

#include <gmock/gmock.h>

#include <random>
#include <unordered_map>

namespace wisteriadock {
namespace {

    std::vector<std::string> problemsOf(std::string_view text)
    {
        std::vector<std::string> lines;
        const auto result = parseConfiguration("f.ini", text);
        if (result)
            return lines;
        for (const SettingsProblem& problem : result.error().kept())
            lines.push_back(problem.toString());
        return lines;
    }

    TEST(ConfigurationParserTest, ParsesAndFindsEntries)
    {
        const Configuration configuration = parsed(exampleText);
        {
            SCOPED_TRACE("entries are sorted by name and found by name and identifier");
            ASSERT_EQ(configuration.services.size(), 2U);
            EXPECT_EQ(configuration.services.front().name, "scanintake");
            EXPECT_EQ(configuration.findService("tryon")->address.toString(), "10.0.0.1:443");
            EXPECT_EQ(configuration.findService(serviceIdOf("tryon"))->name, "tryon");
            EXPECT_EQ(configuration.findBackendServer(backendServerIdOf("scan-1"))->service, serviceIdOf("scanintake"));
            EXPECT_EQ(configuration.findBackendServer("none"), nullptr);
        }
        {
            SCOPED_TRACE("omitted keys have their defaults");
            EXPECT_EQ(configuration.findService("tryon")->flowIdleSeconds, 300U);
            EXPECT_EQ(configuration.findBackendServer("tryon-2")->state, BackendServerState::Active);
        }
    }

    TEST(ConfigurationParserTest, CanonicalTextRoundTrips)
    {
        Configuration configuration = parsed(exampleText);
        configuration.services[0].evenness = 0.1;
        configuration.services[1].objective = 0.99995;
        configuration.backendServers[0].state = BackendServerState::Draining;
        configuration.backendServers[1].slowStartSeconds = 30;
        configuration.backendServers[2].weight = 1;
        const std::string text = writeConfiguration(configuration);
        EXPECT_EQ(parsed(text), configuration);
        EXPECT_EQ(writeConfiguration(parsed(text)), text);
    }

    struct BadInput {
        std::string_view description;
        std::string_view from;
        std::string_view to;
        std::string_view problem;
    };

    TEST(ConfigurationParserTest, ReportsEachProblemWithItsLocation)
    {
        const BadInput cases[] = {
            { "unknown key", "availability_zone = nabua", "availability_zone = nabua\nweigth = 3",
                "f.ini:15: [backend_server tryon-2] weigth = 3: expected a known key; the nearest is 'weight'" },
            { "unknown section", "[service tryon]", "[defaults]\n[service tryon]",
                "f.ini:1: [defaults]: expected a known section; the nearest is 'service'" },
            { "bad number", "[service scanintake]", "evenness = 1.5\n[service scanintake]",
                "f.ini:3: [service tryon] evenness = 1.5: expected a number from 0 to 1" },
            { "bad state", "availability_zone = nabua", "availability_zone = nabua\nstate = drained",
                "f.ini:15: [backend_server tryon-2] state = drained: expected one of active, draining; the nearest is "
                "'draining'" },
            { "duplicate section", "[backend_server scan-1]", "[backend_server tryon-1]",
                "f.ini:15: [backend_server tryon-1]: expected this section only once; first defined on line 5" },
            { "two services on one address", "10.0.0.2:443", "10.0.0.1:443",
                "f.ini:4: [service scanintake] address = 10.0.0.1:443: expected a unique address; this one is already "
                "used by [service tryon] on line 1" },
            { "two backend servers on one address", "10.1.0.2:9001", "10.1.0.1:9000",
                "f.ini:13: [backend_server tryon-2] request_address = 10.1.0.1:9000: expected a unique address; this "
                "one is already used by [backend_server tryon-1] on line 5" },
            { "a backend server on the address of a service, a forwarding loop", "10.1.0.2:9001", "10.0.0.2:443",
                "f.ini:13: [backend_server tryon-2] request_address = 10.0.0.2:443: expected a unique address; this "
                "one is already used by [service scanintake] on line 3" },
            { "backend server of no service", "service = scanintake", "service = scanintak",
                "f.ini:16: [backend_server scan-1] service = scanintak: expected the name of a section [service NAME] "
                "of this file; the nearest is 'scanintake'" },
            { "service without backend servers", "service = scanintake", "service = tryon",
                "f.ini:3: [service scanintake]: expected a backend server with service = scanintake" },
            { "missing key", "availability_zone = nabua\n", "",
                "f.ini:10: [backend_server tryon-2]: expected the key 'availability_zone'" },
            { "bad name", "[service tryon]", "[service try on]",
                "f.ini:1: [service try on]: expected [service NAME], its name being 1 to 63 letters, digits, '-', '_' "
                "or '.', starting with a letter or digit" },
        };
        for (const BadInput& bad : cases) {
            SCOPED_TRACE(bad.description);
            EXPECT_THAT(problemsOf(exampleWith(bad.from, bad.to)), testing::Contains(bad.problem));
        }
    }

    TEST(ConfigurationParserTest, ReportsAllProblemsAtOnce)
    {
        std::string text = exampleWith("10.0.0.2:443", "10.0.0.1:443");
        text += "slots = many\n[oops\n";
        EXPECT_THAT(problemsOf(text),
            testing::ElementsAre(testing::HasSubstr("f.ini:4: [service scanintake] address"),
                testing::HasSubstr("f.ini:20: [backend_server scan-1] slots = many"),
                testing::HasSubstr("f.ini:21: [oops")));
    }

    // Guards against packets that reach the wrong service because the hashes of two names collide.
    TEST(ConfigurationParserTest, RefusesCollidingIdentifiers)
    {
        std::unordered_map<ServiceId, std::string> seen;
        std::string first;
        std::string second;
        for (int i = 0; first.empty(); ++i) {
            second = "s" + std::to_string(i);
            const auto [known, isNew] = seen.emplace(serviceIdOf(second), second);
            if (!isNew)
                first = known->second;
        }
        std::string text = exampleWith("scanintake", second);
        text += "[service " + first + "]\naddress = 10.0.0.9:1\n";
        EXPECT_THAT(problemsOf(text), testing::Contains(testing::HasSubstr("is already used by '" + second + "'")));
    }

    TEST(ConfigurationParserTest, RefusesFilesWithoutServicesOrOverTheLimits)
    {
        EXPECT_THAT(problemsOf(""), testing::ElementsAre("f.ini: expected at least one section [service NAME]"));
        EXPECT_THAT(problemsOf(std::string(maxConfigurationBytes + 1, '\n')),
            testing::ElementsAre("f.ini: 16000001 bytes: expected a file of at most 16000000 bytes"));

        std::string text;
        for (std::size_t i = 0; i <= maxServices; ++i)
            text += "[service s" + std::to_string(i) + "]\n";
        const auto result = parseConfiguration("f.ini", text);
        ASSERT_FALSE(result);
        EXPECT_GT(result.error().omitted(), 0U);
    }

    TEST(ConfigurationParserTest, SurvivesRandomEdits)
    {
        std::mt19937 random(7);
        int accepted = 0;
        for (int round = 0; round < 2000; ++round) {
            std::string text(exampleText);
            for (std::size_t edits = 1 + random() % 6; edits > 0; --edits) {
                const std::size_t at = random() % text.size();
                switch (random() % 3) {
                case 0:
                    text[at] = static_cast<char>(random());
                    break;
                case 1:
                    text.erase(at, random() % 40);
                    break;
                default:
                    text.insert(at, text.substr(random() % text.size(), random() % 40));
                }
            }
            const auto result = parseConfiguration("f.ini", text);
            if (!result) {
                EXPECT_FALSE(result.error().isEmpty());
                continue;
            }
            ++accepted;
            EXPECT_EQ(parsed(writeConfiguration(result.value())), result.value());
        }
        EXPECT_GT(accepted, 0);
    }

}
}
