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

// The operators' limit on new flows to a service's backend servers just after their start.
struct ColdStartLimit {
    // How long a server counts as cold after its start.
    std::chrono::milliseconds duration { 0 };
    // New flows per second to one cold server, from all balancers together. 0: no limit.
    double flowsPerSecond = 0;

    bool operator==(const ColdStartLimit&) const = default;
};

// Keyed by service name.
using ColdStartLimits = absl::flat_hash_map<std::string, ColdStartLimit>;

struct ColdStartSettings {
    // In any second a cold server may get at most flowsPerSecond * overage + slack new flows.
    double overage = 1;
    double slack = 0;
    // How many balancers share the limit of one cold server, so that the failure of one leaves it reachable.
    std::size_t owners = 2;
    // Sliding window in which a balancer counts its own openings. Longer than a second, since network delay can
    // bring packets closer together.
    std::chrono::milliseconds window { 1100 };
    // Longest time until every balancer of the zone knows of a membership change.
    std::chrono::milliseconds propagationTime { 2000 };
    // A balancer that is absent for this long no longer counts towards the majority.
    std::chrono::milliseconds absenceTimeout { 60000 };

    bool operator==(const ColdStartSettings&) const = default;
};

// Returns the time until which a server counts as cold. That is the end of its registered warm-up. If its entry was
// written before its group was ejected or before the evacuation of its zone was revoked, the server may have restarted
// or cooled down since, so the configured duration after the recovery or the revocation applies as well.
TimePoint coldUntil(const KnownServer&, const ColdStartLimit&, const EvacuatedZones&);

// Keeps the new flows that all balancers together send to a cold server within its limit, without messages between
// them. Rendezvous hashing assigns each cold server to a few owners among the balancers of its availability zone. Each
// owner may send an equal share of the limit; other balancers send the server no new flows. OpeningPolicy asks it only
// for services with a configured limit.
//
// A balancer with an incomplete member list could consider itself the owner of every server. It therefore owns nothing
// until its view has settled, nor while it sees half or fewer of the recently known balancers, as in a network
// partition. After a membership change it owns a server only if it was an owner before the change, too.
class ColdStartLimiter {
public:
    ColdStartLimiter(std::string availabilityZone, ColdStartSettings settings)
        : availabilityZone_(std::move(availabilityZone))
        , settings_(settings)
    {
    }

    // Sets the live balancers of this zone, including this one, in any order. isSettled is false while this balancer
    // is still discovering others.
    void setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now);

    // Returns whether this balancer may send one more new flow to a cold server.
    bool mayOpenFlow(const RegisteredServer&, const ColdStartLimit&, TimePoint now);
    // Records that an opening packet was sent to the cold server.
    void noteAttempt(const RegisteredServer&, TimePoint now);
    // Drops records of openings that are older than the window.
    void tick(TimePoint now);

private:
    // The members of the zone from a point in time until the next change.
    struct MemberList {
        TimePoint since;
        std::vector<std::uint32_t> ids;
    };

    bool isOwner(std::uint64_t server, TimePoint now) const;
    bool isOwnerIn(const MemberList&, std::uint64_t server) const;
    // How long an earlier member list still counts.
    Duration handoverTime() const { return settings_.propagationTime + settings_.window; }
    bool isMajority() const { return 2 * memberLists_.back().ids.size() > lastSeen_.size(); }

    std::string availabilityZone_;
    ColdStartSettings settings_;
    std::uint32_t self_ = 0;
    bool isSettled_ = false;
    // Oldest first.
    std::vector<MemberList> memberLists_;
    // By balancer: when it was last a member.
    absl::flat_hash_map<std::uint32_t, TimePoint> lastSeen_;
    // By server number: when this balancer sent opening packets to the cold server, oldest first.
    absl::flat_hash_map<std::uint64_t, std::vector<TimePoint>> openings_;
};

}
