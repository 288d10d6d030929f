#include "Balancer/BalancerSettings.h"

#include <gmock/gmock.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;
    using testing::AllOf;
    using testing::HasSubstr;

    constexpr std::string_view minimalSettings = R"(
[balancer]
name = b1
availability_zone = walu
[listen]
flow = 127.0.0.1:0
peer = 127.0.0.1:7001
request = 127.0.0.1:0
metrics = 127.0.0.1:0
[platform]
address = 127.0.0.1:9000
)";

    std::string problemsOf(std::string_view text)
    {
        SettingsProblems problems;
        BalancerSettings::parse("b1.ini", text, problems);
        return problems.toString();
    }

    TEST(BalancerSettingsTest, MinimalFileUsesDefaults)
    {
        SettingsProblems problems;
        const auto settings = BalancerSettings::parse("b1.ini", minimalSettings, problems);

        ASSERT_EQ(problems.toString(), "");
        EXPECT_EQ(settings.name, "b1");
        EXPECT_EQ(settings.listen.flow, (Endpoint { 0x7f000001, 0 }));
        EXPECT_EQ(settings.listen.peer, (Endpoint { 0x7f000001, 7001 }));
        EXPECT_FALSE(settings.advertise.peer.isSet());
        EXPECT_EQ(settings.flow.policy, FlowPolicy::Protected);
        EXPECT_EQ(settings.packetThreads, 2U);
        EXPECT_EQ(settings.drain, 10s);
        EXPECT_TRUE(settings.isAtMostOnce);
        EXPECT_EQ(settings.requestPolicy, RequestPolicy::Default);
    }

    TEST(BalancerSettingsTest, EverySectionIsRead)
    {
        const std::string text = std::string(minimalSettings) + R"(
[advertise]
flow = 192.0.2.1:5000
[peers]
seeds = 192.0.2.2:7001, 192.0.2.3:7001
[flow]
policy = modulo
tracked_flows = 5000
report_patience_milliseconds = 700
[threads]
packet = 4
[request]
body_bytes = 1000
default_deadline_milliseconds = 250
at_most_once = off
policy = blind_retry
availability_zones = nabua, walu
[drain]
seconds = 3
[log]
level = warning
)";
        SettingsProblems problems;
        const auto settings = BalancerSettings::parse("b1.ini", text, problems);

        ASSERT_EQ(problems.toString(), "");
        EXPECT_EQ(settings.advertise.flow, (Endpoint { 0xc0000201, 5000 }));
        EXPECT_EQ(settings.seeds.size(), 2U);
        EXPECT_FALSE(settings.isAtMostOnce);
        EXPECT_EQ(settings.requestPolicy, RequestPolicy::BlindRetry);
        EXPECT_EQ(settings.availabilityZones, (std::vector<std::string> { "nabua", "walu" }));
        EXPECT_EQ(settings.flow.policy, FlowPolicy::Modulo);
        EXPECT_EQ(settings.flow.trackedFlows, 5000U);
        EXPECT_EQ(settings.flow.reportTimeout, 700ms);
        EXPECT_EQ(settings.packetThreads, 4U);
        EXPECT_EQ(settings.requestLimits.bodyBytes, 1000U);
        EXPECT_EQ(settings.defaultDeadline, 250ms);
        EXPECT_EQ(settings.drain, 3s);
        EXPECT_EQ(settings.logLevel, LogLevel::Warning);
    }

    TEST(BalancerSettingsTest, AllProblemsAreReportedAtOnce)
    {
        const std::string problems = problemsOf(R"([balancer]
name = b 1
[listen]
flow = 127.0.0.1
peer = 127.0.0.1:0
request = 127.0.0.1:0
metrics = 127.0.0.1:0
[platform]
adress = 127.0.0.1:9000
[flow]
policy = random
[threads]
packet = 0
[drian]
seconds = 1
)");
        EXPECT_THAT(problems, HasSubstr("b1.ini:2: [balancer] name = b 1"));
        EXPECT_THAT(problems, AllOf(HasSubstr("[balancer]"), HasSubstr("availability_zone")));
        EXPECT_THAT(problems, HasSubstr("b1.ini:4: [listen] flow = 127.0.0.1"));
        EXPECT_THAT(problems, HasSubstr("address"));
        EXPECT_THAT(problems, HasSubstr("b1.ini:9: [platform] adress"));
        EXPECT_THAT(problems, HasSubstr("b1.ini:11: [flow] policy = random"));
        EXPECT_THAT(problems, HasSubstr("b1.ini:13: [threads] packet = 0"));
        EXPECT_THAT(problems, HasSubstr("drain"));
    }

    // Guards against a balancer that advertises 0.0.0.0, to which no other balancer can send.
    TEST(BalancerSettingsTest, ListeningOnAllAddressesRequiresAdvertisedAddress)
    {
        std::string text(minimalSettings);
        text.replace(text.find("127.0.0.1:7001"), 14, "0.0.0.0:7001");
        EXPECT_THAT(problemsOf(text), HasSubstr("[advertise] peer"));
        EXPECT_EQ(problemsOf(text + "[advertise]\npeer = 192.0.2.1:7001\n"), "");
    }

    TEST(BalancerSettingsTest, DefaultDeadlineAboveMaximumIsRejected)
    {
        const std::string text = std::string(minimalSettings)
            + "[request]\ndefault_deadline_milliseconds = 20\nlongest_deadline_milliseconds = 10\n";
        EXPECT_THAT(problemsOf(text), HasSubstr("default_deadline_milliseconds = 20"));
    }

    // Guards against a misspelt zone that becomes a home zone of its own, so that two balancers run the same key.
    TEST(BalancerSettingsTest, InvalidZoneListIsRejected)
    {
        const auto problemsWith = [](const std::string& zones) {
            return problemsOf(std::string(minimalSettings) + "[request]\navailability_zones = " + zones + "\n");
        };
        EXPECT_EQ(problemsWith("walu"), "");
        EXPECT_THAT(problemsWith("nabua, laucala"), HasSubstr("a list that contains the own zone, walu"));
        EXPECT_THAT(problemsWith("walu, walu"), HasSubstr("each once"));
        EXPECT_THAT(problemsWith("walu,,nabua"), HasSubstr("names without dots"));
        EXPECT_THAT(problemsWith("walu, na.bua"), HasSubstr("names without dots"));
    }

    TEST(BalancerSettingsTest, UnreadableFileIsNamedInError)
    {
        const auto settings = BalancerSettings::load("/nonexistent/b1.ini");
        ASSERT_FALSE(settings);
        EXPECT_EQ(settings.error().code, ErrorCode::NotFound);
        EXPECT_THAT(settings.error().detail, HasSubstr("/nonexistent/b1.ini"));
    }

}

}
