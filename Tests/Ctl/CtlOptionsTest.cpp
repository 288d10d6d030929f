#include "Ctl/CtlOptions.h"
#include "Ctl/FlagCheck.h"

#include <absl/flags/flag.h>
#include <gmock/gmock.h>

ABSL_FLAG(std::int64_t, flag_check_number, 0, "a flag of the tests below");
ABSL_FLAG(bool, flag_check_switch, false, "a flag of the tests below");

namespace wisteriadock {
namespace {

    TEST(CtlOptionsTest, ReadsACompleteCommandLine)
    {
        CtlFlags flags;
        flags.platform = "127.0.0.1:80";
        flags.balancers = "127.0.0.1:81,127.0.0.1:82";
        flags.format = "json";
        flags.baseVersion = 0;
        const auto options = parseCtlOptions({ "apply", "f.ini" }, flags);
        ASSERT_TRUE(options);
        EXPECT_EQ(options.value().command, CtlCommand::Apply);
        EXPECT_EQ(options.value().argument, "f.ini");
        EXPECT_EQ(options.value().balancers.size(), 2U);
        EXPECT_EQ(options.value().baseVersion, 0U);
        EXPECT_TRUE(parseCtlOptions({ "check", "-" }, CtlFlags()));
    }

    // Guards against running a command with missing, surplus or invalid arguments.
    TEST(CtlOptionsTest, RefusesAnIncompleteOrMalformedCommandLine)
    {
        CtlFlags complete;
        complete.platform = "127.0.0.1:80";
        for (const std::vector<std::string>& words : std::vector<std::vector<std::string>> {
                 {}, { "aply", "f" }, { "apply" }, { "apply", "f", "g" }, { "get", "f" } })
            EXPECT_FALSE(parseCtlOptions(words, complete)) << testing::PrintToString(words);
        EXPECT_FALSE(parseCtlOptions({ "get" }, CtlFlags())) << "without --platform";
        EXPECT_FALSE(parseCtlOptions({ "status" }, CtlFlags())) << "without --platform and --balancers";

        const std::vector<std::function<void(CtlFlags&)>> mistakes {
            [](CtlFlags& flags) { flags.platform = "here"; },
            [](CtlFlags& flags) { flags.balancers = "127.0.0.1:1,"; },
            [](CtlFlags& flags) { flags.format = "xml"; },
            [](CtlFlags& flags) { flags.applyId = "two words"; },
            [](CtlFlags& flags) { flags.applyId = std::string(61, 'a'); },
            [](CtlFlags& flags) { flags.author = "\x1b[2J"; },
            [](CtlFlags& flags) { flags.deadlineSeconds = 0; },
            [](CtlFlags& flags) { flags.deadlineSeconds = std::numeric_limits<double>::quiet_NaN(); },
        };
        for (std::size_t i = 0; i < mistakes.size(); ++i) {
            SCOPED_TRACE(i);
            CtlFlags flags = complete;
            mistakes[i](flags);
            const auto options = parseCtlOptions({ "get" }, flags);
            ASSERT_FALSE(options);
            EXPECT_THAT(options.error().detail, testing::HasSubstr("expected"));
        }
    }

    // Guards against Abseil ending the process with the exit code of a refused configuration.
    TEST(FlagCheckTest, FindsUnknownFlagsAndBadValues)
    {
        const auto check = [](std::vector<const char*> words) {
            words.insert(words.begin(), "program");
            return findBadFlag(static_cast<int>(words.size()), words.data()).value_or("");
        };
        EXPECT_EQ(check({ "get", "--flag_check_number", "3", "--flag_check_switch", "-", "--help" }), "");
        EXPECT_EQ(check({ "--noflag_check_switch", "-flag_check_number=4", "--", "--anything" }), "");
        EXPECT_EQ(check({ "--flag_check_numbr=3" }), "unknown flag --flag_check_numbr");
        EXPECT_EQ(check({ "--flag_check_number=x" }), "bad value 'x' for --flag_check_number");
        EXPECT_EQ(check({ "--flag_check_number" }), "a value is missing for --flag_check_number");
    }

}
}
