#include "Experiment/ScenarioSchedule.h"

#include "Experiment/FleetPlan.h"

#include <algorithm>

namespace wisteriadock {

std::vector<Step> scheduleOf(const ExperimentOptions& options)
{
    ScheduleOptions schedule;
    schedule.seed = options.seed;
    schedule.mode = options.faults;
    schedule.length = options.length;
    schedule.availabilityZones = options.availabilityZones;
    schedule.balancers = options.balancers;
    schedule.serviceOfServer = FleetPlan::make(options, 0).serviceOfInitialServers();
    return makeSchedule(schedule);
}

std::size_t addedServers(const std::vector<Step>& steps)
{
    return static_cast<std::size_t>(
        std::count_if(steps.begin(), steps.end(), [](const Step& step) { return step.kind == StepKind::AddServer; }));
}

}
