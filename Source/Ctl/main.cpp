#include "Ctl/CtlProgram.h"
#include "Ctl/FlagCheck.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

ABSL_FLAG(std::string, platform, "", "ADDRESS:PORT of the platform");
ABSL_FLAG(std::string, balancers, "",
    "ADDRESS:PORT,... of the balancers' status pages: 'status' asks them; 'apply', 'drain' and 'undrain' number their "
    "version above all that they run");
ABSL_FLAG(std::string, format, "text", "text or json");
ABSL_FLAG(std::string, apply_id, "", "names this apply, so that it can be run again; random if not given");
ABSL_FLAG(std::string, author, "", "who applies, for the loser of a race; $USER if not given");
ABSL_FLAG(std::int64_t, base_version, -1, "refuse unless this is the newest version; 0 for none yet");
ABSL_FLAG(std::uint64_t, above_version, 0, "number the new version above this one as well");
ABSL_FLAG(bool, allow_idle_service, false, "let a service end up without an active backend server");
ABSL_FLAG(bool, allow_moved_address, false, "let an address go from one service to another");
ABSL_FLAG(bool, allow_unreadable_base, false, "apply although the version in force can't be read to check against");
ABSL_FLAG(double, deadline_seconds, 15, "give up after this time");

namespace {

constexpr const char* usage = R"(Applies and inspects the configuration.
  wisteriadock-ctl check FILE              is the file valid? asks nobody
  wisteriadock-ctl diff FILE               what would it change?
  wisteriadock-ctl apply FILE              makes it the newest version, whole or not at all
  wisteriadock-ctl get                     prints the newest version
  wisteriadock-ctl drain BACKEND_SERVER    gives it no new work
  wisteriadock-ctl undrain BACKEND_SERVER  gives it new work again
  wisteriadock-ctl status                  which balancers run which version?
FILE may be - for standard input. All but check need --platform; status needs --balancers or --platform.
Exit codes: 0 done; 1 invalid or refused, nothing changed (status: a balancer runs another version); 2 wrong command
line; 3 platform or balancer not reached, nothing changed; 4 unknown whether the change was made.)";

std::string authorOf(const std::string& flag)
{
    if (!flag.empty())
        return flag;
    const char* user = std::getenv("USER");
    return user ? user : "somebody";
}

wisteriadock::CtlFlags readFlags()
{
    wisteriadock::CtlFlags flags;
    flags.platform = absl::GetFlag(FLAGS_platform);
    flags.balancers = absl::GetFlag(FLAGS_balancers);
    flags.format = absl::GetFlag(FLAGS_format);
    flags.applyId = absl::GetFlag(FLAGS_apply_id);
    flags.author = authorOf(absl::GetFlag(FLAGS_author));
    flags.baseVersion = absl::GetFlag(FLAGS_base_version);
    flags.aboveVersion = absl::GetFlag(FLAGS_above_version);
    flags.allowIdleService = absl::GetFlag(FLAGS_allow_idle_service);
    flags.allowMovedAddress = absl::GetFlag(FLAGS_allow_moved_address);
    flags.allowUnreadableBase = absl::GetFlag(FLAGS_allow_unreadable_base);
    flags.deadlineSeconds = absl::GetFlag(FLAGS_deadline_seconds);
    return flags;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("wisteriadock-ctl " WISTERIADOCK_VERSION "\n"); };
    config.contains_help_flags = [](auto file) { return file.find("Ctl/main.cpp") != file.npos; };
    config.contains_helpshort_flags = config.contains_help_flags;
    absl::SetFlagsUsageConfig(config);
    if (const auto bad = wisteriadock::findBadFlag(argc, argv)) {
        std::fprintf(stderr, "wisteriadock-ctl: %s\nSee wisteriadock-ctl --help.\n", bad->c_str());
        return static_cast<int>(wisteriadock::CtlExit::Usage);
    }
    const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
    return wisteriadock::runCtl(std::vector<std::string>(words.begin() + 1, words.end()), readFlags());
}
