#include "Forwarder/ForwarderSettings.h"
#include "Forwarder/SettingsFileWatcher.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

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

[load]
report_interval_milliseconds = 250

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

    // Guards against a bound that is too short to be kept, and against the longer of two bounds.
    TEST(ForwarderSettingsTest, TheShorterBoundOfTheStalenessCounts)
    {
        const auto boundOf = [](const std::string& lines) {
            std::string text = completeText;
            text.replace(text.find("[limits]"), 8, "[limits]\n" + lines);
            return ForwarderSettings::parse("file", text);
        };
        const std::string replica = "max_replica_staleness_milliseconds = ";
        const std::string drain = "max_drain_staleness_milliseconds = ";
        using std::chrono::milliseconds;
        EXPECT_EQ(boundOf("").value().stalenessBound(), milliseconds(0));
        EXPECT_EQ(boundOf(replica + "0").value().stalenessBound(), milliseconds(0));
        EXPECT_EQ(boundOf(replica + "4000").value().stalenessBound(), milliseconds(4000));
        EXPECT_EQ(boundOf(drain + "3000.0").value().stalenessBound(), milliseconds(3000));
        EXPECT_EQ(boundOf(replica + "0\n" + drain + "3000").value().stalenessBound(), milliseconds(3000));
        EXPECT_EQ(boundOf(replica + "4000\n" + drain + "3000").value().stalenessBound(), milliseconds(3000));
        EXPECT_EQ(boundOf(replica + "3000\n" + drain + "4000").value().stalenessBound(), milliseconds(3000));
        for (const char* wrong : { "999", "-1", "soon", "86400001" }) {
            const std::string line = drain + wrong;
            const auto settings = boundOf(fmt::format("{}4000\n{}", replica, line));
            ASSERT_FALSE(settings) << wrong;
            EXPECT_NE(settings.error().detail.find(line), std::string::npos) << settings.error().detail;
        }
        const ForwarderSettings before = boundOf(replica + "4000").value();
        EXPECT_EQ(before.differencesThatNeedRestart(boundOf(replica + "4000\n" + drain + "3000").value()),
            (std::vector<std::string> {
                "limits.max_replica_staleness_milliseconds, limits.max_drain_staleness_milliseconds" }));
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

    TEST(ForwarderSettingsTest, LoadReportsAreOffUnlessSwitchedOn)
    {
        std::string text = completeText;
        const std::size_t load = text.find("[load]");
        text.erase(load, text.find("[log]") - load);
        EXPECT_EQ(ForwarderSettings::parse("file", text).value().loadReportInterval.count(), 0);
        const auto parse = [&](const std::string& value) {
            return ForwarderSettings::parse("file", text + "\n[load]\nreport_interval_milliseconds = " + value + "\n");
        };
        ASSERT_TRUE(parse("500"));
        EXPECT_EQ(parse("500").value().loadReportInterval.count(), 500);
        EXPECT_TRUE(parse("0"));
        for (const char* wrong : { "100", "1001", "-1", "often" }) {
            SCOPED_TRACE(wrong);
            ASSERT_FALSE(parse(wrong));
            EXPECT_NE(parse(wrong).error().detail.find("report_interval_milliseconds"), std::string::npos);
        }
        EXPECT_EQ(parse("500").value().differencesThatNeedRestart(parse("250").value()),
            std::vector<std::string> { "load.report_interval_milliseconds" });
        {
            SCOPED_TRACE("decisions that need load reports are refused without them");
            for (const char* key : { "priority_admission", "zone_spillover" }) {
                const auto refused = ForwarderSettings::parse("file", text + "\n[overload]\n" + key + " = true\n");
                ASSERT_FALSE(refused);
                EXPECT_NE(refused.error().detail.find(key), std::string::npos);
            }
        }
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
