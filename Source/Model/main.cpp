#include "Model/ModelRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, scenario, "", "the scenario file (INI)");
ABSL_FLAG(std::vector<std::string>, policies, (std::vector<std::string> { "today", "hash", "all_knowing" }),
    "policies to compare, or 'all'; --list shows them");
ABSL_FLAG(bool, list, false, "list the policies and exit");
ABSL_FLAG(std::uint64_t, seed, 1, "the seed of the first run");
ABSL_FLAG(unsigned, seeds, 20, "number of consecutive seeds (1 to 10000)");
ABSL_FLAG(unsigned, threads, std::max(1U, std::thread::hardware_concurrency() / 2), "number of threads (1 to 256)");
ABSL_FLAG(std::string, format, "text", "text or json");
ABSL_FLAG(std::string, series, "", "CSV file to write the served share and the servers' load over time to");

namespace wisteriadock {
namespace {

    enum ExitCode : int {
        Done = 0,
        BadFile = 1,
        BadFlags = 2,
    };

    int fail(ExitCode code, const std::string& message)
    {
        fmt::print(stderr, "wisteriadock-model: {}\n", message);
        return code;
    }

    int listPolicies()
    {
        for (const ModelPolicy& policy : modelPolicies())
            fmt::print("{:<18} {}\n", policy.name, policy.description);
        return Done;
    }

    int runScenario()
    {
        std::vector<const ModelPolicy*> policies;
        for (const std::string& name : absl::GetFlag(FLAGS_policies)) {
            if (name == "all") {
                for (const ModelPolicy& policy : modelPolicies())
                    policies.push_back(&policy);
                continue;
            }
            const ModelPolicy* policy = findModelPolicy(name);
            if (!policy)
                return fail(BadFlags, fmt::format("--policies: unknown policy '{}'; --list shows all", name));
            policies.push_back(policy);
        }
        const unsigned seeds = absl::GetFlag(FLAGS_seeds);
        const unsigned threads = absl::GetFlag(FLAGS_threads);
        const std::string format = absl::GetFlag(FLAGS_format);
        if (seeds < 1 || seeds > 10000 || threads < 1 || threads > 256)
            return fail(BadFlags, "--seeds must be 1 to 10000, --threads 1 to 256");
        if (format != "text" && format != "json")
            return fail(BadFlags, fmt::format("--format: '{}' is neither text nor json", format));
        if (absl::GetFlag(FLAGS_scenario).empty())
            return fail(BadFlags, "--scenario FILE is missing");
        const auto scenario = ModelScenario::load(absl::GetFlag(FLAGS_scenario));
        if (!scenario)
            return fail(BadFile, scenario.error().detail);
        const std::size_t runs = policies.size() * seeds;
        const auto rows = runModels(scenario.value(), policies, absl::GetFlag(FLAGS_seed), seeds, threads,
            [&](std::size_t done) { fmt::print(stderr, "\r{} of {} runs{}", done, runs, done == runs ? "\n" : ""); });
        fmt::print("{}", format == "json" ? jsonOf(rows) : textOf(rows));
        const std::string series = absl::GetFlag(FLAGS_series);
        if (series.empty())
            return Done;
        std::ofstream file(series);
        file << timeSeriesCsvOf(rows);
        return file.flush() ? Done : fail(BadFile, fmt::format("{}: cannot be written", series));
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Simulates a deployment, its load and its faults, and compares policies.\n"
                                 "  wisteriadock-model --scenario FILE [--policies today,hash] [--seeds 20]");
    absl::ParseCommandLine(argc, argv);
    return absl::GetFlag(FLAGS_list) ? wisteriadock::listPolicies() : wisteriadock::runScenario();
}
