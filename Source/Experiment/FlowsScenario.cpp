#include "Experiment/BalanceMeter.h"
#include "Experiment/CallerRun.h"
#include "Experiment/ControlPlaneMeter.h"
#include "Experiment/Scenario.h"
#include "Experiment/ScenarioSchedule.h"
#include "Experiment/StepRunner.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto idleWindow = 2s;
    constexpr auto sampleInterval = 1s;
    constexpr auto pollInterval = 20ms;

    // One run of the scenario: executes the steps while load runs, and collects the results.
    class FlowsRun {
    public:
        FlowsRun(const ScenarioContext& context, Deployment& deployment, std::vector<Step> steps, CallerRun& caller)
            : context_(context)
            , deployment_(deployment)
            , caller_(caller)
            , steps_(deployment, std::move(steps), caller.begin())
        {
        }

        Result<void> drive(ControlPlaneMeter& control)
        {
            TimePoint nextSample = Clock::now();
            while (!caller_.isOver()) {
                BOOST_OUTCOME_TRYV(steps_.poll());
                if (Clock::now() >= nextSample) {
                    nextSample += sampleInterval;
                    BOOST_OUTCOME_TRYV(control.sample(steps_.began()));
                    BOOST_OUTCOME_TRYV(sampleBalance());
                }
                BOOST_OUTCOME_TRYV(deployment_.loop().runUntil(Clock::now() + pollInterval));
            }
            end_ = Clock::now();
            BOOST_OUTCOME_TRYV(steps_.endAll());
            BOOST_OUTCOME_TRYV(control.sample(steps_.began()));
            return caller_.readResults(deployment_.loop());
        }

        Result<Verdict> check(const ControlPlaneMeter& control)
        {
            BOOST_OUTCOME_TRY(records, deployment_.backendServers().records(true));
            std::uint64_t wrongService = caller_.row("wrong_service_packets");
            std::uint64_t lateNewFlows = 0;
            std::uint64_t droppedRecords = 0;
            for (const auto& [name, record] : records) {
                wrongService += record.wrongServicePackets;
                lateNewFlows += steps_.drainChecker().lateNewFlows(name, record.newFlowTimes);
                droppedRecords += record.droppedRecords;
            }
            const std::uint64_t established = caller_.row("flows_established");
            const std::uint64_t broken = caller_.row("flows_broken");

            ResultRows& rows = context_.rows;
            rows.set("flows_established", established);
            rows.set("flows_broken", broken);
            rows.set("wrong_service_packets", wrongService);
            rows.set("new_flows_to_leaving_after_grace", lateNewFlows);
            rows.set("imbalance_max_over_mean", balance_.liveFlowsMaxOverMean());
            rows.set("imbalance_new_flows_max_over_mean", balance_.newFlowsMaxOverMean());
            rows.set("new_flows_per_second",
                static_cast<double>(established) / static_cast<double>(context_.options.length.count()));
            rows.set("faults_injected", steps_.failures() + control.proxyFaults());
            rows.set("planned_changes", steps_.plannedChanges());
            rows.set("drains_judged", std::uint64_t(steps_.drainChecker().checkedDrains(end_)));
            rows.set("flows_not_established", caller_.row("flows_not_established"));
            rows.set("openings_elsewhere", caller_.row("openings_elsewhere"));
            control.report(rows);
            reportBreaks(rows);

            const FaultMode mode = context_.options.faults;
            Verdict verdict;
            verdict.require(established > 0, "no flow was established");
            verdict.require(broken == 0 || mode == FaultMode::All, "flows broke without an unplanned failure");
            verdict.require(wrongService == 0, "packets reached the wrong service");
            verdict.require(lateNewFlows == 0, "draining servers received new flows after the grace time");
            verdict.require(mode == FaultMode::None || steps_.plannedChanges() > 0, "no change was made");
            verdict.require(mode != FaultMode::All || steps_.failures() > 0, "no failure was injected");
            verdict.require(control.overflowed() == 0, "the fault proxy dropped data because its buffers were full");
            verdict.require(droppedRecords == 0, "the backend servers dropped records because their memory was full");
            const std::string exits = deployment_.balancers().unexpectedExits();
            verdict.require(exits.empty(), exits);
            return verdict;
        }

    private:
        Result<void> sampleBalance()
        {
            BOOST_OUTCOME_TRY(records, deployment_.backendServers().records(false));
            std::map<std::string, ServerLoad> loads;
            for (const PlannedServer& server : deployment_.plan().servers) {
                const auto active = steps_.activeServers().find(server.name);
                if (active == steps_.activeServers().end())
                    continue;
                const ServerRecord& record = records[server.name];
                loads[server.name] = { deployment_.plan().services[server.service].name, active->second,
                    record.liveFlows, record.newFlows };
            }
            balance_.sample(loads);
            return boost::outcome_v2::success();
        }

        // Counts broken flows by the kind of break and by the last step before it.
        void reportBreaks(ResultRows& rows) const
        {
            std::map<std::string, std::uint64_t> counts;
            const auto breaks = caller_.records().value("breaks", nlohmann::json::array());
            for (const auto& flow : breaks) {
                const TimePoint at(std::chrono::milliseconds(flow.value("at_milliseconds", std::int64_t(0))));
                ++counts["flows_broken_by_" + flow.value("kind", "unlisted")];
                ++counts[fmt::format("flows_broken_after_{}", steps_.lastStepBefore(at))];
            }
            for (const auto& [name, count] : counts)
                rows.set(name, count);
        }

        const ScenarioContext& context_;
        Deployment& deployment_;
        CallerRun& caller_;
        StepRunner steps_;
        BalanceMeter balance_;
        TimePoint end_;
    };

}

Result<Verdict> runFlowsScenario(const ScenarioContext& context)
{
    auto steps = scheduleOf(context.options);
    BOOST_OUTCOME_TRY(deployment,
        Deployment::start(context.loop, context.directory, { context.options, addedServers(steps), false }));
    ControlPlaneMeter control(*deployment);
    BOOST_OUTCOME_TRYV(control.measureIdleProcessorUse(idleWindow));
    BOOST_OUTCOME_TRY(caller, CallerRun::start(*deployment, context.options, {}));

    FlowsRun run(context, *deployment, std::move(steps), *caller);
    BOOST_OUTCOME_TRYV(run.drive(control));
    return run.check(control);
}

}
