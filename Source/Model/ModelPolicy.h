#pragma once

#include "Forward/OpeningAdmission.h"
#include "Forward/OpeningPolicy.h"

#include <string_view>
#include <vector>

namespace wisteriadock {

// How the forwarders of a run select a backend server for a new flow: the production code with some settings changed.
struct ModelPolicy {
    std::string_view name;
    std::string_view description;
    OpeningSettings opening;
    AdmissionSettings admission;
    // Each forwarder gets the true load of every server before it routes an opening packet: an upper bound for policies
    // that rely on what a forwarder can observe.
    bool knowsTrueLoads = false;
};

// The default policy ("today"), its baselines, and variants of the default with one mechanism disabled ("no_...").
const std::vector<ModelPolicy>& modelPolicies();
// Null for an unknown name.
const ModelPolicy* findModelPolicy(std::string_view name);

}
