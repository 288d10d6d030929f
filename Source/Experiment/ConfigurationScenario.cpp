#include "Experiment/ConfigurationRun.h"

namespace wisteriadock {

namespace {

    constexpr std::chrono::seconds idleWindow { 2 };

}

Result<Verdict> runConfigurationScenario(const ScenarioContext& context)
{
    BOOST_OUTCOME_TRY(deployment, Deployment::start(context.loop, context.directory, { context.options, 0, false }));
    ControlPlaneMeter control(*deployment);
    BOOST_OUTCOME_TRYV(control.measureIdleProcessorUse(idleWindow));
    ConfigurationRun run(context, *deployment, control);
    BOOST_OUTCOME_TRYV(run.drive());
    return run.check();
}

}
