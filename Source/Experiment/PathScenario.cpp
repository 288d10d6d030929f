#include "Experiment/CallerRun.h"
#include "Experiment/ControlPlaneMeter.h"
#include "Experiment/Scenario.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto idleWindow = 1s;
    constexpr auto sampleInterval = 1s;
    constexpr int requestsPerSecond = 20;

    std::string requestArguments(const std::vector<Endpoint>& balancers)
    {
        std::string text;
        for (const Endpoint& balancer : balancers)
            text += (text.empty() ? "" : ",") + balancer.toString();
        return "--balancers=" + text;
    }

    Result<void> runLoad(CallerRun& caller, Deployment& deployment, ControlPlaneMeter& control)
    {
        while (!caller.isOver()) {
            BOOST_OUTCOME_TRYV(control.sample(false));
            const TimePoint next = Clock::now() + sampleInterval;
            while (!caller.isOver() && Clock::now() < next) {
                BOOST_OUTCOME_TRYV(deployment.loop().runUntil(Clock::now() + 50ms));
            }
        }
        BOOST_OUTCOME_TRYV(control.sample(false));
        return caller.readResults(deployment.loop());
    }

}

Result<Verdict> runPathScenario(const ScenarioContext& context)
{
    const ExperimentOptions& options = context.options;
    const FaultSettings faults { .delay = options.delay, .loss = options.loss };
    const bool hasFaults = faults != FaultSettings();
    BOOST_OUTCOME_TRY(deployment, Deployment::start(context.loop, context.directory, { options, 0, hasFaults }));
    BOOST_OUTCOME_TRYV(deployment->proxy().setFaults({ "fabric/*" }, faults));

    ControlPlaneMeter control(*deployment);
    BOOST_OUTCOME_TRYV(control.measureIdleProcessorUse(idleWindow));
    BOOST_OUTCOME_TRY(caller,
        CallerRun::start(*deployment, options,
            { requestArguments(deployment->balancers().requestAddresses()),
                fmt::format("--requests_per_second={}", requestsPerSecond) }));
    BOOST_OUTCOME_TRYV(runLoad(*caller, *deployment, control));
    BOOST_OUTCOME_TRY(records, deployment->backendServers().records(false));

    std::uint64_t wrongService = caller->row("wrong_service_packets");
    for (const auto& [name, record] : records)
        wrongService += record.wrongServicePackets;
    ResultRows& rows = context.rows;
    for (const char* name :
        { "flows_established", "flows_broken", "requests_sent", "requests_answered", "requests_refused" })
        rows.set(name, caller->row(name));
    rows.set("wrong_service_packets", wrongService);
    rows.set("faults_injected", control.proxyFaults());
    control.report(rows);

    Verdict verdict;
    verdict.require(caller->row("flows_established") > 0, "no flow was established");
    verdict.require(caller->row("flows_broken") == 0, "flows broke");
    verdict.require(caller->row("requests_sent") > 0, "no request was sent");
    verdict.require(caller->row("requests_answered") == caller->row("requests_sent"), "requests went unanswered");
    verdict.require(wrongService == 0, "packets reached the wrong service");
    verdict.require(!hasFaults || control.proxyFaults() > 0, "no fault was injected");
    verdict.require(control.overflowed() == 0, "the fault proxy dropped data because its buffers were full");
    const std::string exits = deployment->balancers().unexpectedExits();
    verdict.require(exits.empty(), exits);
    return verdict;
}

}
