#include "Ctl/FileCommands.h"

#include "Configuration/ExampleConfiguration.h"
#include "Ctl/ApplyReport.h"

#include <gmock/gmock.h>

#include <fstream>

namespace wisteriadock {
namespace {

    TEST(FileCommandsTest, CheckReportsEveryErrorAsTextAndJson)
    {
        const std::string path = testing::TempDir() + "FileCommandsTest.ini";
        std::ofstream(path) << exampleText;
        EXPECT_EQ(checkFile(path).text, "valid: 2 services, 3 backend servers");

        std::ofstream(path) << exampleWith("scanintake\nflow", "scanintak\nflow") << "weight = 0\n";
        const CtlResult bad = checkFile(path);
        EXPECT_EQ(bad.exit, CtlExit::Refused);
        EXPECT_THAT(bad.text, testing::HasSubstr(path + ":20: [backend_server scan-1] weight = 0: expected a whole"));
        ASSERT_EQ(bad.json["problems"].size(), 3U);
        EXPECT_EQ(bad.json["problems"][1]["line"], 16);
        EXPECT_EQ(bad.json["problems"][1]["key"], "service");

        std::remove(path.c_str());
        EXPECT_EQ(checkFile(path).exit, CtlExit::Refused);
    }

    TEST(FileCommandsTest, ExitCodeOfEveryOutcome)
    {
        ApplyOutcome outcome;
        const std::pair<ApplyStatus, CtlExit> exits[]
            = { { ApplyStatus::Accepted, CtlExit::Done }, { ApplyStatus::Refused, CtlExit::Refused },
                  { ApplyStatus::Unavailable, CtlExit::Unavailable }, { ApplyStatus::Unknown, CtlExit::Unknown } };
        for (const auto& [status, exit] : exits) {
            outcome.status = status;
            const CtlResult result = reportApply(outcome);
            EXPECT_EQ(result.exit, exit);
            EXPECT_EQ(result.json["status"], nameOf(status));
            EXPECT_EQ(nlohmann::json::parse(result.render(OutputFormat::Json)), result.json);
        }
        EXPECT_EQ(static_cast<int>(CtlExit::Done), 0);
        EXPECT_EQ(static_cast<int>(CtlExit::Refused), 1);
        EXPECT_EQ(static_cast<int>(CtlExit::Usage), 2);
        EXPECT_EQ(static_cast<int>(CtlExit::Unavailable), 3);
        EXPECT_EQ(static_cast<int>(CtlExit::Unknown), 4);
    }

}
}
