#pragma once

#include "Model/ModelPolicy.h"
#include "Model/ModelResult.h"
#include "Model/ModelScenario.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace wisteriadock {

// Plays the scenario once in simulated time. The same scenario, policy and seed give the same result on every machine.
ModelResult runModel(const ModelScenario&, const ModelPolicy&, std::uint64_t seed);

// Plays it for each policy and for so many seeds from the first on, on so many threads. told runs after each run, on
// any thread but never twice at once, with the number of runs that are done.
std::vector<PolicyResults> runModels(const ModelScenario&, const std::vector<const ModelPolicy*>&,
    std::uint64_t firstSeed, unsigned seeds, unsigned threads, const std::function<void(std::size_t done)>& onProgress);

}
