#include "Model/ModelPolicy.h"

#include <algorithm>
#include <limits>

namespace wisteriadock {

namespace {

    // Longer than any run.
    constexpr std::chrono::hours never { 24 };

    AdmissionSettings neverRefusing()
    {
        AdmissionSettings settings;
        settings.minAnswers = std::numeric_limits<std::size_t>::max();
        return settings;
    }

    template <typename Change>
    ModelPolicy changed(
        std::string_view name, std::string_view description, const Change& change, AdmissionSettings admission = {})
    {
        ModelPolicy policy { name, description, {}, admission, false };
        change(policy.opening);
        return policy;
    }

    std::vector<ModelPolicy> makePolicies()
    {
        return {
            { "today", "the settings that forwarders start with", {}, {}, false },
            { "all_knowing", "today's, given the true load of every server", {}, {}, true },
            { "no_admission", "no new flow is refused because of load", {}, neverRefusing(), false },
            changed(
                "hash", "a hash of flow and server within the own zone",
                [](OpeningSettings& opening) {
                    opening.loadWeight = 0;
                    opening.failingPenalty = 0;
                    opening.openingTimeout = never;
                    opening.zoneLivenessTimeout = never;
                },
                neverRefusing()),
            changed("no_load", "the load of servers doesn't count",
                [](OpeningSettings& opening) { opening.loadWeight = 0; }),
            changed("no_leave_out", "unresponsive servers are not ejected",
                [](OpeningSettings& opening) { opening.openingTimeout = never; }),
            changed("no_zone_proof", "other zones need no proof of liveness",
                [](OpeningSettings& opening) { opening.zoneLivenessTimeout = never; }),
            changed("no_cold_factor", "cold servers count as warm",
                [](OpeningSettings& opening) { opening.coldFactor = 1; }),
            changed("no_unanswered", "unanswered requests don't count",
                [](OpeningSettings& opening) { opening.failingPenalty = 0; }),
            changed("no_zone_penalty", "other zones cost nothing",
                [](OpeningSettings& opening) { opening.zonePenalty = 0; }),
            changed("no_idle_weight", "open flows without a request don't count",
                [](OpeningSettings& opening) { opening.idleFlowWeight = 0; }),
        };
    }

}

const std::vector<ModelPolicy>& modelPolicies()
{
    static const std::vector<ModelPolicy> policies = makePolicies();
    return policies;
}

const ModelPolicy* findModelPolicy(std::string_view name)
{
    const auto found = std::ranges::find(modelPolicies(), name, &ModelPolicy::name);
    return found == modelPolicies().end() ? nullptr : &*found;
}

}
