#include "Experiment/Scenario.h"

#include <array>

namespace wisteriadock {

namespace {

    constexpr std::array scenarios {
        Scenario { "path", "flows and requests from callers to backend servers and back", runPathScenario },
        Scenario { "configuration", "configuration versions during races, lost answers, outages and cuts",
            runConfigurationScenario },
        Scenario { "flows", "established flows during planned changes and failures", runFlowsScenario },
        Scenario { "requests", "keyed requests run at most once, with complete answers and correct refusals",
            runRequestsScenario },
    };

}

std::span<const Scenario> allScenarios() { return scenarios; }

const Scenario* findScenario(std::string_view name)
{
    for (const Scenario& scenario : scenarios) {
        if (scenario.name == name)
            return &scenario;
    }
    return nullptr;
}

}
