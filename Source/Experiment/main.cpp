#include "Core/Log.h"
#include "Experiment/Scenario.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

#include <cstdio>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of all random choices: load, faults and the schedule.");
ABSL_FLAG(unsigned, availability_zones, 3, "Number of availability zones (1 to 9).");
ABSL_FLAG(unsigned, balancers, 6, "Number of balancers at the start (1 to 100).");
ABSL_FLAG(unsigned, backend_servers, 19, "Number of backend servers of both services (2 to 200).");
ABSL_FLAG(unsigned, seconds, 10, "Length of the load (1 to 3600).");
ABSL_FLAG(std::string, policy, "default",
    "Flow policy: default, modulo, consistent_hash or bounded_loads; requests: default or blind_retry.");
ABSL_FLAG(std::string, faults, "none", "Steps taken while load runs: none, planned or all.");
ABSL_FLAG(unsigned, flows_per_second, 200, "Flows that callers open per second.");
ABSL_FLAG(unsigned, requests_per_second, 100, "requests: requests that callers send per second.");
ABSL_FLAG(unsigned, delay_ms, 0, "path: delay between the fabric and the balancers.");
ABSL_FLAG(double, loss, 0, "path: share of packets lost between the fabric and the balancers (0 to 1).");
ABSL_FLAG(bool, keep_files, false, "Keep the settings, logs and records of the processes.");

namespace wisteriadock {
namespace {

    enum ExitCode : int {
        InvariantsHeld = 0,
        InvariantBroken = 1,
        CouldNotRun = 2,
    };

    std::string usage()
    {
        std::string text = "Runs the system as separate processes and checks its invariants.\n"
                           "  wisteriadock-experiment SCENARIO [flags]\n"
                           "Exits with 0 when every invariant held, 1 when one did not, 2 when it could not run.\n"
                           "Scenarios:\n";
        for (const Scenario& scenario : allScenarios())
            text += fmt::format("  {}: {}\n", scenario.name, scenario.summary);
        return text;
    }

    Result<std::size_t> inRange(const char* flag, unsigned value, unsigned low, unsigned high)
    {
        if (value < low || value > high) {
            return Error { ErrorCode::InvalidArgument,
                fmt::format("--{}: {} is not between {} and {}", flag, value, low, high) };
        }
        return std::size_t(value);
    }

    Result<ExperimentOptions> readOptions()
    {
        ExperimentOptions options;
        options.seed = absl::GetFlag(FLAGS_seed);
        BOOST_OUTCOME_TRY(zones, inRange("availability_zones", absl::GetFlag(FLAGS_availability_zones), 1, 9));
        options.availabilityZones = zones;
        BOOST_OUTCOME_TRY(balancers, inRange("balancers", absl::GetFlag(FLAGS_balancers), 1, 100));
        options.balancers = balancers;
        BOOST_OUTCOME_TRY(servers, inRange("backend_servers", absl::GetFlag(FLAGS_backend_servers), 2, 200));
        options.backendServers = servers;
        BOOST_OUTCOME_TRY(seconds, inRange("seconds", absl::GetFlag(FLAGS_seconds), 1, 3600));
        options.length = std::chrono::seconds(seconds);
        options.policy = absl::GetFlag(FLAGS_policy);
        BOOST_OUTCOME_TRY(faults, parseFaultMode(absl::GetFlag(FLAGS_faults)));
        options.faults = faults;
        BOOST_OUTCOME_TRY(flows, inRange("flows_per_second", absl::GetFlag(FLAGS_flows_per_second), 1, 100'000));
        options.flowsPerSecond = static_cast<std::uint32_t>(flows);
        BOOST_OUTCOME_TRY(
            requests, inRange("requests_per_second", absl::GetFlag(FLAGS_requests_per_second), 1, 10'000));
        options.requestsPerSecond = static_cast<std::uint32_t>(requests);
        BOOST_OUTCOME_TRY(delay, inRange("delay_ms", absl::GetFlag(FLAGS_delay_ms), 0, 10'000));
        options.delay = std::chrono::milliseconds(delay);
        options.loss = absl::GetFlag(FLAGS_loss);
        if (!(options.loss >= 0 && options.loss < 1))
            return Error { ErrorCode::InvalidArgument, "--loss is not between 0 and 1" };
        options.keepFiles = absl::GetFlag(FLAGS_keep_files);
        return options;
    }

    Result<Verdict> run(const Scenario& scenario, const ExperimentOptions& options, ResultRows& rows)
    {
        EventLoop loop;
        BOOST_OUTCOME_TRY(directory, RunDirectory::create());
        if (options.keepFiles) {
            directory->keep();
            fmt::print(stderr, "files are kept in {}\n", directory->path().string());
        }
        return scenario.run({ options, loop, *directory, rows });
    }

    int report(const Result<Verdict>& verdict, const ResultRows& rows)
    {
        fmt::print("{}", rows.toString());
        if (!verdict) {
            fmt::print(stderr, "could not run: {}\n", verdict.error().toString());
            return CouldNotRun;
        }
        for (const std::string& violation : verdict.value().violations())
            fmt::print(stderr, "violated: {}\n", violation);
        return verdict.value().violations().empty() ? InvariantsHeld : InvariantBroken;
    }

    int start(const std::vector<char*>& arguments)
    {
        configureLog(LogLevel::Info);
        const Scenario* scenario = arguments.size() == 2 ? findScenario(arguments[1]) : nullptr;
        if (!scenario) {
            fmt::print(stderr, "{}", usage());
            return CouldNotRun;
        }
        const auto options = readOptions();
        if (!options) {
            fmt::print(stderr, "{}\n", options.error().detail);
            return CouldNotRun;
        }
        ResultRows rows;
        rows.set("scenario", std::string(scenario->name));
        rows.set("seed", options.value().seed);
        return report(run(*scenario, options.value(), rows), rows);
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(wisteriadock::usage());
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("wisteriadock-experiment " WISTERIADOCK_VERSION "\n"); };
    config.contains_help_flags = [](auto file) { return file.find("Experiment/main.cpp") != file.npos; };
    config.contains_helpshort_flags = config.contains_help_flags;
    absl::SetFlagsUsageConfig(config);
    return wisteriadock::start(absl::ParseCommandLine(argc, argv));
}
