#pragma once

#include "Model/ModelPolicy.h"
#include "Model/ModelResult.h"
#include "Model/ModelScenario.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace wisteriadock {

// Simulates the scenario once. The same scenario, policy and seed give the same result on every machine.
ModelResult runModel(const ModelScenario&, const ModelPolicy&, std::uint64_t seed);

// Simulates the scenario for each policy and for `seeds` consecutive seeds from `firstSeed`, on `threads` threads.
// onProgress is called after each run with the number of completed runs, from any thread but never concurrently.
std::vector<PolicyResults> runModels(const ModelScenario&, const std::vector<const ModelPolicy*>&,
    std::uint64_t firstSeed, unsigned seeds, unsigned threads, const std::function<void(std::size_t done)>& onProgress);

}
