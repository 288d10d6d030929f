#pragma once

#include "Experiment/ExperimentOptions.h"
#include "Experiment/Schedule.h"

#include <cstddef>
#include <vector>

namespace wisteriadock {

// The schedule of a scenario that changes the fleet, drawn from the options' seed.
std::vector<Step> scheduleOf(const ExperimentOptions&);

// How many backend servers the steps add to those of the start.
std::size_t addedServers(const std::vector<Step>&);

}
