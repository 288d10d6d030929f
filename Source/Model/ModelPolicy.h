#pragma once

#include "Forward/OpeningAdmission.h"
#include "Forward/OpeningPolicy.h"

#include <string_view>
#include <vector>

namespace wisteriadock {

// How the forwarders of a run place new flows: the decisions of the product, with some of their settings changed.
struct ModelPolicy {
    std::string_view name;
    std::string_view description;
    OpeningSettings opening;
    AdmissionSettings admission;
    // Before each decision the forwarder is told every server's true load, so that no placing by what a forwarder can
    // observe does better.
    bool knowsTrueLoads = false;
};

// Today's, its baselines, and today's without one mechanism each ("no_...").
const std::vector<ModelPolicy>& modelPolicies();
const ModelPolicy* findModelPolicy(std::string_view name);

}
