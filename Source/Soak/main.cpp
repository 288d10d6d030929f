#include "Core/Log.h"
#include "Soak/SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <cstdio>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first run; each seed gives one schedule.");
ABSL_FLAG(unsigned, runs, 1, "Number of consecutive seeds to run.");
ABSL_FLAG(unsigned, seconds, 30, "Length of a run in seconds (10 to 600); the last part is for recovery.");
ABSL_FLAG(unsigned, availability_zones, 3, "Number of availability zones (1 to 20).");
ABSL_FLAG(unsigned, balancers, 2, "Forwarders in each availability zone (1 to 15).");
ABSL_FLAG(unsigned, servers, 4, "Backend servers in each availability zone (2 to 40).");
ABSL_FLAG(unsigned, flows_per_second, 60, "Flows that callers open per second (1 to 2000).");
ABSL_FLAG(std::string, keep, "broken", "Runs whose logs are kept: broken, all or none.");

namespace wisteriadock {
namespace {

    enum ExitCode : int {
        Passed = 0,
        Violated = 1,
        RunFailed = 2,
    };

    bool isInRange(const char* flag, unsigned value, unsigned low, unsigned high)
    {
        const bool isGood = value >= low && value <= high;
        if (!isGood)
            fmt::print(stderr, "--{}: {} is not between {} and {}\n", flag, value, low, high);
        return isGood;
    }

    ExitCode runSeed(const SoakOptions& options, std::uint64_t seed, std::chrono::milliseconds length)
    {
        EventLoop loop;
        const auto directory = RunDirectory::create();
        if (!directory)
            return RunFailed;
        const SoakPlan plan = generateSoakPlan(seed, length);
        SoakRun run(options, plan, loop, *directory.value());
        const auto result = run.run();
        if (!result) {
            fmt::print("seed {}: could not run: {}\n", seed, result.error().toString());
            directory.value()->keep();
            return RunFailed;
        }
        const SoakChecker& checker = run.checker();
        const bool hasViolations = !checker.violations().empty();
        const std::string keep = absl::GetFlag(FLAGS_keep);
        const bool keeps = keep == "all" || (keep == "broken" && hasViolations);
        if (keeps)
            directory.value()->keep();
        fmt::print("seed {}: {} steps, {} openings, {} of {} requests served ({} judged as calm), {} resets, {}{}\n",
            seed, plan.steps.size(), checker.openings(), checker.served(), checker.requests(),
            checker.undisturbedRequests(), checker.resets(), hasViolations ? "BROKEN" : "held",
            keeps ? fmt::format(", logs in {}", directory.value()->path().string()) : "");
        for (const std::string& violation : checker.violations())
            fmt::print("  {}\n", violation);
        std::fflush(stdout);
        return hasViolations ? Violated : Passed;
    }

    int runAll(const char* ownPath)
    {
        const unsigned seconds = absl::GetFlag(FLAGS_seconds);
        SoakOptions options;
        options.forwarderProgram = std::filesystem::path(ownPath).parent_path() / "wisteriadock-forwarder";
        options.availabilityZones = absl::GetFlag(FLAGS_availability_zones);
        options.balancersPerZone = absl::GetFlag(FLAGS_balancers);
        options.serversPerZone = absl::GetFlag(FLAGS_servers);
        options.flowsPerSecond = absl::GetFlag(FLAGS_flows_per_second);
        const bool isGood = isInRange("seconds", seconds, 10, 600)
            && isInRange("availability_zones", absl::GetFlag(FLAGS_availability_zones), 1, 20)
            && isInRange("balancers", absl::GetFlag(FLAGS_balancers), 1, 15)
            && isInRange("servers", absl::GetFlag(FLAGS_servers), 2, 40)
            && isInRange("flows_per_second", absl::GetFlag(FLAGS_flows_per_second), 1, 2000);
        if (!isGood)
            return RunFailed;
        ExitCode worst = Passed;
        unsigned violatedRuns = 0;
        const unsigned runs = absl::GetFlag(FLAGS_runs);
        for (unsigned i = 0; i < runs; ++i) {
            const ExitCode code = runSeed(options, absl::GetFlag(FLAGS_seed) + i, std::chrono::seconds(seconds));
            violatedRuns += code != Passed;
            worst = std::max(worst, code);
        }
        fmt::print("{} of {} seeds held\n", runs - violatedRuns, runs);
        return worst;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Runs forwarders as separate processes under a seeded schedule of faults and checks their "
        "guarantees.\n  wisteriadock-soak [--seed N] [--runs N] [--seconds N]\n"
        "Exits with 0 if all guarantees held, 1 if one was violated, 2 if a run could not be performed.");
    absl::ParseCommandLine(argc, argv);
    wisteriadock::configureLog(wisteriadock::LogLevel::Info);
    return wisteriadock::runAll(argv[0]);
}
