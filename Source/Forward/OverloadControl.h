#pragma once

#include "Core/Clock.h"
#include "Forward/ForwardingConfiguration.h"
#include "Forward/OverloadSettings.h"
#include "Forward/PriorityAdmission.h"
#include "Forward/ServiceDemand.h"
#include "Forward/ServiceLoad.h"
#include "Forward/ZoneSpillover.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// What is known of a service's load and what follows from it; for the metrics.
struct ServiceOverload {
    std::string service;
    float level = 0;
    // By zone: slots that may get new flows, and the demand of the zone's callers.
    std::map<std::string, float> slots;
    std::map<std::string, float> demand;
    // By zone: slots that callers of other zones may use; see ZoneSpillover::fullFrom.
    std::map<std::string, float> room;
    // By other zone: the share of the own zone's new flows.
    std::map<std::string, float> shares;
};

// Holds the newest load of each service, and keeps ZoneSpillover and PriorityAdmission up to date with it. TokenRouter
// calls it.
class OverloadControl {
public:
    // A load is forgotten if no newer one arrives within this time.
    static constexpr std::chrono::milliseconds loadLifetime { 2000 };

    OverloadControl(std::string availabilityZone, OverloadSettings settings, Duration wallClockOffset)
        : availabilityZone_(std::move(availabilityZone))
        , settings_(settings)
        , spillover_(availabilityZone_)
        , admission_(wallClockOffset)
    {
    }

    void setLoad(const std::string& service, ServiceLoad);
    // Returns null for a service whose load is unknown.
    const ServiceLoad* findLoad(const std::string& service) const;

    // What the other parts know of a service at a tick.
    struct Inputs {
        // Zones that may get new flows.
        std::vector<ZoneSlots> zones;
        // The priorities of its routes, the most urgent first.
        std::vector<std::uint32_t> priorities;
        // See OpeningAdmission::refusedShare().
        double lateShare = 0;
    };
    // inputsOf: a function from a service's name to Inputs.
    template <typename InputsOf> void tick(const InputsOf& inputsOf, TimePoint now)
    {
        absl::erase_if(services_, [&](auto& entry) { return !update(entry.first, entry.second, inputsOf, now); });
    }

    const ZoneSpillover& spillover() const { return spillover_; }
    const PriorityAdmission& admission() const { return admission_; }
    std::vector<SpilloverChange> takeSpilloverChanges() { return spillover_.takeChanges(); }
    std::vector<ShedLevelChange> takeShedLevelChanges() { return admission_.takeChanges(); }
    // Empty while the settings are off or no load is known.
    std::vector<ServiceOverload> overview() const;

private:
    struct KnownLoad {
        ServiceLoad load;
        bool isNew = true;
        TimePoint receivedAt = TimePoint::min();
        Inputs inputs;
    };

    template <typename InputsOf>
    bool update(const std::string& service, KnownLoad& known, const InputsOf& inputsOf, TimePoint now)
    {
        if (known.isNew)
            known.receivedAt = now;
        known.isNew = false;
        if (known.load.rows.empty() || now - known.receivedAt > loadLifetime) {
            spillover_.forget(service);
            admission_.forget(service);
            return false;
        }
        known.inputs = inputsOf(service);
        decide(service, known, now);
        return true;
    }
    void decide(const std::string& service, KnownLoad&, TimePoint now);

    std::string availabilityZone_;
    OverloadSettings settings_;
    ZoneSpillover spillover_;
    PriorityAdmission admission_;
    absl::flat_hash_map<std::string, KnownLoad> services_;
};

}
