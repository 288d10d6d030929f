#pragma once

#include "Experiment/ExperimentOptions.h"
#include "Experiment/Schedule.h"

#include <cstddef>
#include <vector>

namespace wisteriadock {

// Returns the random steps for the given options. Used by the scenarios "flows" and "requests".
std::vector<Step> scheduleOf(const ExperimentOptions&);

// Number of backend servers that the steps add.
std::size_t addedServers(const std::vector<Step>&);

}
