#pragma once

#include "Core/Clock.h"
#include "Forward/EvacuatedZones.h"
#include "Forward/ServerDirectory.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// What a service's servers bear just after their start, by the operators' configuration.
struct ColdStartLimit {
    // How long they are cold.
    std::chrono::milliseconds duration { 0 };
    // New flows a second that a cold one bears; 0 where operators name no rate, and nothing is limited then.
    double flowsPerSecond = 0;

    bool operator==(const ColdStartLimit&) const = default;
};

// By service.
using ColdStartLimits = absl::flat_hash_map<std::string, ColdStartLimit>;

struct ColdStartSettings {
    // A cold server may get its rate times the overage, and the slack besides, in any second (bounds of the platform).
    double overage = 1;
    double slack = 0;
    // So many balancers share a cold server. Several, since one may just have ended.
    std::size_t owners = 2;
    // What "any second" means here: openings that were sent further apart than a second may arrive within one.
    std::chrono::milliseconds window { 1100 };
    // Who is no longer an owner hears of it within this time, and what it sent until then counts for a window more.
    std::chrono::milliseconds propagationTime { 2000 };
    // Balancers that are gone for so long are not missed any more: by then others have taken their place.
    std::chrono::milliseconds absenceTimeout { 60000 };

    bool operator==(const ColdStartSettings&) const = default;
};

// Until when a server counts as cold: as its entry says, and where its entry may be older than its last return, as long
// as servers of its service are. Servers that fell silent together may have started again, and those of a zone that was
// emptied may have become cold before the order was taken back.
TimePoint coldUntil(const KnownServer&, const ColdStartLimit&, const EvacuatedZones&);

// Who is cold: gives out what a server bears just after its start, so that all balancers together stay within it
// without asking each other. Each cold server has a few owners among the balancers of its own zone, by a hash that all
// compute alike, and each of them has an equal share; nobody else sends it new flows. Zones without a configured rate
// are not limited.
//
// A balancer that knows the others badly could take itself for the owner of everything, so it owns nothing while its
// view has not settled or lacks half of those that it knew lately, as in a cut; and where the members changed just now
// it counts as owner only if it was one before the change, too.
class ColdStartLimiter {
public:
    ColdStartLimiter(std::string availabilityZone, ColdStartSettings settings)
        : availabilityZone_(std::move(availabilityZone))
        , settings_(settings)
    {
    }

    // The balancers of the own zone that are alive, this one among them, in any order; isSettled is false while more
    // may be met at any moment.
    void setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now);

    // Whether this balancer may send another new flow to a server that is cold.
    bool mayOpenFlow(const RegisteredServer&, const ColdStartLimit&, TimePoint now);
    // It does so.
    void noteAttempt(const RegisteredServer&, TimePoint now);
    // Forgets what is over.
    void tick(TimePoint now);

private:
    // Since when the zone's balancers were these.
    struct Roster {
        TimePoint since;
        std::vector<std::uint32_t> ids;
    };

    bool isOwner(std::uint64_t server, TimePoint now) const;
    bool isOwnerIn(const Roster&, std::uint64_t server) const;
    Duration handover() const { return settings_.propagationTime + settings_.window; }
    bool isMajority() const { return 2 * rosters_.back().ids.size() > lastThere_.size(); }

    std::string availabilityZone_;
    ColdStartSettings settings_;
    std::uint32_t self_ = 0;
    bool isSettled_ = false;
    // The newest last.
    std::vector<Roster> rosters_;
    // Who was there lately, and when last.
    absl::flat_hash_map<std::uint32_t, TimePoint> lastThere_;
    // When this balancer sent its last flows to a cold server, the oldest first.
    absl::flat_hash_map<std::uint64_t, std::vector<TimePoint>> tries_;
};

}
