#include "Forwarder/SettingsReloader.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace wisteriadock {

namespace {

    constexpr const char* requiredText = "[forwarder]\nvm = vm-1\navailability_zone = walu\n"
                                         "[listen]\nflow = 127.0.0.1:1\nready = 127.0.0.1:2\npeer = 127.0.0.1:3\n"
                                         "[store]\naddress = 127.0.0.1:4\n";

    // A settings file and the reloader that watches it.
    struct SettingsReloaderTest : testing::Test {
        std::string path = testing::TempDir() + "settings-reload-" + std::to_string(::getpid()) + ".ini";
        std::array<int, 2> pipe { -1, -1 };
        ForwarderSettings settings;
        std::vector<Endpoint> seeds;
        std::unique_ptr<EventLog> log;
        std::unique_ptr<SettingsReloader> reloader;

        SettingsReloaderTest()
        {
            EXPECT_EQ(::pipe(pipe.data()), 0);
            write("");
            settings = ForwarderSettings::load(path).value();
            log = std::make_unique<EventLog>(EventOrigin { "vm-1", "walu", 1 }, pipe[1]);
            reloader = std::make_unique<SettingsReloader>(
                settings, path, *log, [this](const std::vector<Endpoint>& changed, TimePoint) { seeds = changed; });
        }
        ~SettingsReloaderTest() override
        {
            std::remove(path.c_str());
            ::close(pipe[0]);
            ::close(pipe[1]);
        }

        void write(const std::string& more) const { std::ofstream(path) << requiredText << more; }

        std::string logged()
        {
            log->flush(Clock::now());
            std::string text(65536, '\0');
            text.resize(static_cast<std::size_t>(::read(pipe[0], text.data(), text.size())));
            return text;
        }
    };

    TEST_F(SettingsReloaderTest, ChangedSeedsAndLogSettingsAreApplied)
    {
        write("[peers]\nseed_vms = 127.0.0.2:8166\n[log]\nlevel = warning\n");
        reloader->reload("signal", Clock::now());
        ASSERT_EQ(seeds.size(), 1U);
        EXPECT_EQ(settings.seeds, seeds);
        EXPECT_EQ(log->level(), LogLevel::Warning);
    }

    TEST_F(SettingsReloaderTest, InvalidFileChangesNothing)
    {
        write("[peers]\nseed_vms = 127.0.0.2:8166\n[log]\nlevel = loud\n");
        reloader->reload("signal", Clock::now());
        EXPECT_TRUE(seeds.empty());
        EXPECT_TRUE(settings.seeds.empty());
        EXPECT_NE(logged().find("\"event\":\"refused\""), std::string::npos);
    }

    TEST_F(SettingsReloaderTest, SettingsThatNeedARestartAreOnlyLogged)
    {
        write("[limits]\nlongest_flow_seconds = 30\n");
        reloader->reload("file", Clock::now());
        EXPECT_NE(logged().find("\"needs_restart\":\"limits.longest_flow_seconds\""), std::string::npos);
        EXPECT_EQ(settings.longestFlow, ForwarderSettings().longestFlow);
    }

}

}
