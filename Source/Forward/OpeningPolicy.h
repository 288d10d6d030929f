#pragma once

#include "Core/Clock.h"
#include "Forward/FlowBook.h"
#include "Forward/ServerDirectory.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

struct OpeningSettings {
    // How much of the known work counts. 0: servers are told apart by a hash alone.
    float loadWeight = 1;
    // What a server of another availability zone must be less loaded by, in requests for each of its slots.
    float zonePenalty = 1.25F;
    // How much of a request an open flow without one counts as.
    float idleFlowWeight = 0.05F;
    // How much slower a server is that has just started.
    float coldFactor = 1.6F;
    // What a server that leaves all requests unanswered must be less loaded by, in requests for each of its slots, when
    // others answer.
    float failingPenalty = 6;
    // So much more than others it may fail without any.
    float failingTolerance = 0.02F;
    // An opening that waits for longer speaks against its server: the first answer takes a few milliseconds.
    std::chrono::milliseconds openingPatience { 150 };
    // How long a silent server is left out at first and at most; one flow at a time then tries it again.
    std::chrono::milliseconds firstLeaveOut { 500 };
    std::chrono::milliseconds longestLeaveOut { 4000 };
    // Another zone that gave no sign of life for so long may be cut off: it gets one new flow at a time.
    std::chrono::milliseconds zoneProof { 1000 };

    bool operator==(const OpeningSettings&) const = default;
};

// Another zone stopped giving signs of life, or gives them again.
struct ZoneChange {
    std::string availabilityZone;
    bool isBack = false;
    std::uint32_t failures = 0;
};

// The choice for one opening packet, with what decided it.
struct OpeningChoice {
    // Null when the service has no server that may take flows.
    KnownServer* server = nullptr;
    // How many servers may take flows, and how many of those were passed over as silent.
    std::uint32_t eligible = 0;
    std::uint32_t silent = 0;
    // The chosen server's load in requests for each slot, as far as this balancer knows.
    float load = 0;
    // The share of its requests that it left unanswered lately.
    float failing = 0;
    // All were silent, so that silence was not held against them.
    bool isDesperate = false;
    // A server that was left out gets this flow as a trial.
    bool isTrial = false;
    // Servers that were left out by this look at them.
    std::vector<const KnownServer*> leftOut {};
};

// Chooses the backend server of a new flow: the one with the least known work, the own availability zone first, and
// none that seems dead while others do not. Equal servers are told apart by a hash of flow and server, so balancers
// that know nothing yet choose alike.
class OpeningPolicy {
public:
    OpeningPolicy(std::string availabilityZone, OpeningSettings settings = {})
        : availabilityZone_(std::move(availabilityZone))
        , settings_(settings)
    {
    }

    // former is what is remembered of the flow, or null. The servers that it tried are avoided.
    OpeningChoice choose(
        const std::vector<KnownServer*>& servers, const FlowEnds&, const FlowMemory* former, TimePoint now);

    // An opening packet goes to the server.
    void noteTry(const KnownServer&, TimePoint now);
    // The server gave a sign of life.
    void noteProgress(const KnownServer&, TimePoint now);
    // Leaves the server out when an opening has waited too long for it. True when that is new.
    bool review(KnownServer&, TimePoint now) const;
    // What became of other zones since the last call.
    std::vector<ZoneChange> takeZoneChanges() { return std::exchange(zoneChanges_, {}); }

private:
    // What is known of another availability zone as a whole.
    struct Zone {
        TimePoint lastProgress = TimePoint::min();
        TimePoint waitingSince = TimePoint::max();
        std::uint32_t failures = 0;
        TimePoint leftOutUntil = TimePoint::min();
    };

    bool isOutOfReach(const std::string& availabilityZone, TimePoint now);
    bool isUnproven(const Zone&, TimePoint now) const;
    std::chrono::milliseconds leaveOutAfter(std::uint32_t failures) const;
    float costOf(const KnownServer&, float usualFailingShare, TimePoint now) const;
    float loadOf(const KnownServer&, TimePoint now) const;

    std::string availabilityZone_;
    OpeningSettings settings_;
    absl::flat_hash_map<std::string, Zone> otherZones_;
    std::vector<ZoneChange> zoneChanges_;
};

}
