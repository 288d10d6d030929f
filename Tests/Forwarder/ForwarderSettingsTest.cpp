#include "Forwarder/ForwarderSettings.h"
#include "Forwarder/SettingsFileWatcher.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace wisteriadock {

namespace {

    constexpr const char* completeText = R"([forwarder]
vm = edge-walu-1
availability_zone = walu

[listen]
flow = 10.1.0.10:8172
ready = 10.1.0.10:8167
peer = 10.1.0.10:7720
metrics = 10.1.0.10:9464

[store]
address = 10.200.1.7:8169

[peers]
seed_vms = 10.1.0.10:8166,10.2.0.40:8166

[limits]
longest_flow_seconds = 60
grace_seconds = 6.5
link_megabits_per_second = 200.0
cold_overage = 1.5
cold_slack_flows = 5

[overload]
priority_admission = true

[log]
level = warning
lines_per_second_and_kind = 50
)";

    TEST(ForwarderSettingsTest, CompleteFile)
    {
        const auto settings = ForwarderSettings::parse("file", completeText);
        ASSERT_TRUE(settings) << settings.error().detail;
        EXPECT_EQ(settings.value().vm, "edge-walu-1");
        EXPECT_EQ(settings.value().store, Endpoint::parse("10.200.1.7:8169").value());
        EXPECT_EQ(settings.value().seeds.size(), 2U);
        EXPECT_EQ(settings.value().longestFlow, std::chrono::seconds(60));
        EXPECT_EQ(settings.value().grace, std::chrono::milliseconds(6500));
        EXPECT_EQ(settings.value().linkMegabits, 200U);
        EXPECT_EQ(settings.value().coldStart.overage, 1.5);
        EXPECT_EQ(settings.value().coldStart.slack, 5.0);
        EXPECT_TRUE(settings.value().overload.priorityAdmission);
        EXPECT_FALSE(settings.value().overload.zoneSpillover) << "off unless it is set";
        EXPECT_EQ(settings.value().logLevel, LogLevel::Warning);
    }

    TEST(ForwarderSettingsTest, AllProblemsAreReportedTogetherWithTheirLines)
    {
        std::string text = completeText;
        text.replace(text.find("10.1.0.10:8172"), 14, "nowhere");
        text.replace(text.find("[store]"), 7, "[stroe]");
        text.replace(text.find("level = warning"), 15, "level = loud");
        text.replace(text.find("grace_seconds = 6.5"), 19, "grace_seconds = -1");
        text.replace(text.find("priority_admission = true"), 25, "priority_admission = maybe");
        const auto settings = ForwarderSettings::parse("file", text);
        ASSERT_FALSE(settings);
        for (const char* part : { "flow = nowhere", "[store]", "[stroe]", "level = loud", "grace_seconds = -1",
                 "priority_admission = maybe" })
            EXPECT_NE(settings.error().detail.find(part), std::string::npos) << part << "\n" << settings.error().detail;
    }

    TEST(ForwarderSettingsTest, DifferencesThatNeedARestart)
    {
        const ForwarderSettings before = ForwarderSettings::parse("file", completeText).value();
        ForwarderSettings after = before;
        EXPECT_TRUE(before.differencesThatNeedRestart(after).empty());
        after.seeds.clear();
        after.logLevel = LogLevel::Debug;
        EXPECT_TRUE(before.differencesThatNeedRestart(after).empty());
        after.store.port = 1;
        after.vm = "other";
        after.overload.zoneSpillover = true;
        EXPECT_EQ(before.differencesThatNeedRestart(after),
            (std::vector<std::string> { "forwarder.vm", "store.address", "overload" }));
    }

    TEST(ForwarderSettingsTest, EachChangeOfTheFileIsDetectedOnce)
    {
        const std::filesystem::path path
            = std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid()));
        std::ofstream(path) << completeText;
        SettingsFileWatcher watcher(path.string());
        EXPECT_FALSE(watcher.hasChanged());
        std::ofstream(path) << completeText << "\n; changed\n";
        EXPECT_TRUE(watcher.hasChanged());
        EXPECT_FALSE(watcher.hasChanged());
        std::filesystem::remove(path);
        EXPECT_FALSE(watcher.hasChanged());
    }

}

}
