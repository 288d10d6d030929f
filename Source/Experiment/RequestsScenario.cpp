#include "Experiment/CallerRun.h"
#include "Experiment/ConnectionResets.h"
#include "Experiment/ControlPlaneMeter.h"
#include "Experiment/RequestChecker.h"
#include "Experiment/Scenario.h"
#include "Experiment/ScenarioSchedule.h"
#include "Experiment/StepRunner.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto idleWindow = 2s;
    constexpr auto sampleInterval = 1s;
    constexpr auto pollInterval = 20ms;
    // Allows requests that balancers send after the callers' deadline to be recorded.
    constexpr auto settlingTime = 3s;
    // Number of additional attempts per key, each at another balancer.
    constexpr int requestRetries = 3;
    constexpr std::string_view blindRetry = "blind_retry";

    DeploymentOptions deploymentOf(const ExperimentOptions& options, const std::vector<Step>& steps)
    {
        DeploymentOptions deployment;
        deployment.experiment = options;
        deployment.experiment.policy = "default";
        deployment.spareServers = addedServers(steps);
        deployment.backendsThroughProxy = true;
        deployment.extraBalancerSettings = fmt::format("[request]\npolicy = {}\navailability_zones = {}\n\n",
            options.policy, fmt::join(FleetPlan::make(options, 0).availabilityZones, ", "));
        return deployment;
    }

    std::vector<std::string> callerArguments(const ExperimentOptions& options, const std::vector<Endpoint>& balancers)
    {
        std::string addresses;
        for (const Endpoint& balancer : balancers)
            addresses += (addresses.empty() ? "" : ",") + balancer.toString();
        return { "--balancers=" + addresses, fmt::format("--requests_per_second={}", options.requestsPerSecond),
            fmt::format("--request_retries={}", requestRetries) };
    }

    std::int64_t millisecondsOf(TimePoint at)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    }

    std::int64_t firstFailureOf(const std::vector<Step>& steps, TimePoint begin, const ExperimentOptions& options)
    {
        if (options.faults != FaultMode::All)
            return RequestChecker::never;
        std::int64_t first = millisecondsOf(begin + ConnectionResets::faultFreeStart);
        for (const Step& step : steps) {
            if (!isPlannedChange(step.kind))
                first = std::min(first, millisecondsOf(begin + step.at));
        }
        return first;
    }

    // One run of the scenario: executes the steps while load runs, and collects the results.
    class RequestsRun {
    public:
        RequestsRun(const ScenarioContext& context, Deployment& deployment, std::vector<Step> steps, CallerRun& caller)
            : context_(context)
            , deployment_(deployment)
            , caller_(caller)
            , firstFailure_(firstFailureOf(steps, caller.begin(), context.options))
            , steps_(deployment, std::move(steps), caller.begin())
            , resets_(deployment, context.options, caller.begin())
        {
        }

        Result<void> drive(ControlPlaneMeter& control)
        {
            TimePoint nextSample = Clock::now();
            while (!caller_.isOver()) {
                BOOST_OUTCOME_TRYV(steps_.poll());
                BOOST_OUTCOME_TRYV(resets_.poll());
                if (Clock::now() >= nextSample) {
                    nextSample += sampleInterval;
                    BOOST_OUTCOME_TRYV(control.sample(steps_.began()));
                }
                BOOST_OUTCOME_TRYV(deployment_.loop().runUntil(Clock::now() + pollInterval));
            }
            BOOST_OUTCOME_TRYV(steps_.endAll());
            BOOST_OUTCOME_TRYV(resets_.end());
            BOOST_OUTCOME_TRYV(control.sample(steps_.began()));
            BOOST_OUTCOME_TRYV(caller_.readResults(deployment_.loop()));
            return deployment_.loop().runUntil(Clock::now() + settlingTime);
        }

        Result<Verdict> check(const ControlPlaneMeter& control)
        {
            BOOST_OUTCOME_TRY(servers, deployment_.backendServers().requestRecords());
            RequestChecker checker;
            BOOST_OUTCOME_TRYV(checker.readCallers(caller_.records()));
            BOOST_OUTCOME_TRYV(checker.readBackendServers(servers));
            const RequestFindings findings = checker.check(firstFailure_);
            std::uint64_t wrongService = caller_.row("wrong_service_packets") + caller_.row("requests_wrong_service");
            std::uint64_t unrecorded = 0;
            for (const auto& [name, server] : servers.items()) {
                wrongService += server.value("wrong_service_count", std::uint64_t(0));
                unrecorded += server.value("unrecorded_runs", std::uint64_t(0));
            }
            report(findings, control, wrongService);
            for (const std::string& example : findings.examples)
                fmt::print(stderr, "{}\n", example);
            return verdictOf(findings, control, wrongService, unrecorded);
        }

    private:
        void report(const RequestFindings& findings, const ControlPlaneMeter& control, std::uint64_t wrongService)
        {
            ResultRows& rows = context_.rows;
            const std::uint64_t sent = caller_.row("requests_sent");
            const std::uint64_t answered = caller_.row("requests_answered");
            for (const char* name : { "requests_sent", "requests_answered", "requests_refused" })
                rows.set(name, caller_.row(name));
            rows.set("double_runs", findings.doubleRuns);
            rows.set("false_refusals", findings.falseRefusals);
            rows.set("mixed_answers", findings.mixedAnswers);
            rows.set("incomplete_answers", findings.incompleteAnswers);
            rows.set("cut_in_flight", findings.cutInFlight);
            rows.set("unknown_outcomes", findings.unknownOutcomes);
            rows.set("unknown_outcomes_that_ran", findings.unknownThatRan);
            for (const auto& [status, count] : findings.unknownByStatus)
                rows.set(status == 0 ? "unknown_outcomes_lost" : fmt::format("unknown_outcomes_{}", status), count);
            rows.set("goodput_fraction", sent == 0 ? 0.0 : static_cast<double>(answered) / static_cast<double>(sent));
            rows.set("faults_injected", steps_.failures() + resets_.count() + control.proxyFaults());
            rows.set("planned_changes", steps_.plannedChanges());
            rows.set("backend_resets", resets_.count());
            rows.set("request_tries_sent", caller_.row("request_tries_sent"));
            rows.set("requests_skipped", caller_.row("requests_skipped"));
            rows.set("keys_run", findings.keysRun);
            rows.set("flows_established", caller_.row("flows_established"));
            rows.set("flows_broken", caller_.row("flows_broken"));
            rows.set("wrong_service_packets", wrongService);
            control.report(rows);
        }

        Verdict verdictOf(const RequestFindings& findings, const ControlPlaneMeter& control, std::uint64_t wrongService,
            std::uint64_t unrecorded)
        {
            const FaultMode mode = context_.options.faults;
            Verdict verdict;
            verdict.require(caller_.row("requests_answered") > 0, "no request was answered");
            verdict.require(findings.keysRun > 0, "the backend servers recorded no run");
            verdict.require(findings.doubleRuns == 0, "keys ran more than once");
            verdict.require(findings.falseRefusals == 0, "keys ran although their callers were told that they did not");
            verdict.require(findings.mixedAnswers == 0, "callers received answers to other requests");
            verdict.require(findings.incompleteAnswers == 0, "callers received truncated answers");
            verdict.require(findings.cutInFlight == 0, "requests in flight were cut off without an unplanned failure");
            verdict.require(
                findings.answeredWithoutRun == 0, "requests were answered although no backend server ran them");
            verdict.require(wrongService == 0, "packets or answers reached the wrong service");
            verdict.require(mode == FaultMode::None || steps_.plannedChanges() > 0, "no change was made");
            verdict.require(mode != FaultMode::All || steps_.failures() > 0, "no failure was injected");
            verdict.require(control.overflowed() == 0, "the fault proxy dropped data because its buffers were full");
            verdict.require(unrecorded == 0, "the backend servers dropped records because their memory was full");
            verdict.require(
                findings.keysRecorded == caller_.row("requests_sent"), "the callers did not record every request");
            const std::string exits = deployment_.balancers().unexpectedExits();
            verdict.require(exits.empty(), exits);
            return verdict;
        }

        const ScenarioContext& context_;
        Deployment& deployment_;
        CallerRun& caller_;
        std::int64_t firstFailure_;
        StepRunner steps_;
        ConnectionResets resets_;
    };

}

Result<Verdict> runRequestsScenario(const ScenarioContext& context)
{
    const ExperimentOptions& options = context.options;
    if (options.policy != "default" && options.policy != blindRetry) {
        return Error { ErrorCode::InvalidArgument,
            fmt::format("--policy: '{}' is neither default nor {}", options.policy, blindRetry) };
    }
    auto steps = scheduleOf(options);
    BOOST_OUTCOME_TRY(deployment, Deployment::start(context.loop, context.directory, deploymentOf(options, steps)));
    ControlPlaneMeter control(*deployment);
    BOOST_OUTCOME_TRYV(control.measureIdleProcessorUse(idleWindow));
    BOOST_OUTCOME_TRY(caller,
        CallerRun::start(*deployment, options, callerArguments(options, deployment->balancers().requestAddresses())));

    RequestsRun run(context, *deployment, std::move(steps), *caller);
    BOOST_OUTCOME_TRYV(run.drive(control));
    return run.check(control);
}

}
