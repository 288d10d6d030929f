#include "Balancer/BalancerProgram.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <string>

ABSL_FLAG(std::string, settings, "", "the settings file (INI)");
ABSL_FLAG(bool, check_settings, false, "check the settings file, print every problem in it and exit");

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Balances the flows and requests of services over their backend servers.\n"
                                 "  wisteriadock-balancer --settings FILE [--check_settings]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("wisteriadock-balancer " WISTERIADOCK_VERSION "\n"); };
    usage.contains_help_flags = [](auto file) { return file.find("Balancer/main.cpp") != file.npos; };
    usage.contains_helpshort_flags = usage.contains_help_flags;
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    const std::string settings = absl::GetFlag(FLAGS_settings);
    if (absl::GetFlag(FLAGS_check_settings))
        return wisteriadock::checkBalancerSettings(settings);
    return wisteriadock::runBalancer(settings);
}
