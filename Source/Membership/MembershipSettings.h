#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Timeouts, fan-outs and budgets of the membership protocol. All balancers of a fleet use the same values.
struct MembershipSettings {
    // One round of the protocol.
    std::chrono::milliseconds interval { 500 };
    // A probe that is unanswered for this long is repeated, directly and through other members.
    std::chrono::milliseconds indirectProbeAfter { 600 };
    // A member whose probe is unanswered for this long is suspected.
    std::chrono::milliseconds suspectAfter { 1000 };
    // A suspected member has this long to refute the suspicion before it is declared dead. Large fleets, in which
    // gossip takes longer, multiply it by a third of the binary logarithm of their size.
    std::chrono::milliseconds suspicionTimeout { 1000 };
    // A longer gap between two calls of tick() means that the process was paused.
    std::chrono::milliseconds pauseThreshold { 1000 };
    // tick() must be called at least this often. With longer periods, rounds and timeouts come late.
    constexpr std::chrono::milliseconds maxTickPeriod() const { return interval / 2; }
    // The view is isolated if no member has answered for this long.
    std::chrono::milliseconds isolatedAfter { 2000 };
    // How long a starting balancer waits for an answer before it counts as alone.
    std::chrono::milliseconds startupTimeout { 4000 };

    // A balancer that knows no other one contacts one address of the VM list this often for some time after its start,
    // since those VMs may have started at the same moment. Takes effect only if tick() is called as often.
    std::chrono::milliseconds newcomerContactInterval { 50 };
    std::chrono::milliseconds newcomerContactPeriod { 1000 };

    // Up to this many other live members are all probed in each interval; in larger fleets one random member is.
    std::size_t meshLimit = 8;
    // Members that are asked to probe an unresponsive member.
    std::size_t indirectProbes = 3;
    // Known members, or addresses of the VM list, that a balancer without recent answers contacts in each interval.
    std::size_t searchFanOut = 6;
    // Members that are notified of a planned stop directly.
    std::size_t leaveFanOut = 16;

    // Limits per interval.
    std::size_t verificationsPerInterval = 3;
    // When a whole fleet starts at once, all balancers first contact the few addresses of their settings. The limits of
    // answers and pages bound the bandwidth of those few. They hold for a link of limitedLinkMegabits or less and grow
    // with the link.
    std::uint32_t limitedLinkMegabits = 20;
    std::size_t answersPerInterval = 64;
    std::size_t indirectProbesPerInterval = 6;
    std::size_t pagesPerInterval = 64;
    std::size_t detailRequestsPerInterval = 4;
    std::size_t catchUpPagesPerInterval = 16;
    // The minimum time between the starts of two catch-ups, if many members are missing and if few are.
    std::chrono::milliseconds minTimeBetweenCatchUps { 5000 };
    std::chrono::milliseconds minTimeBetweenSmallCatchUps { 30000 };
    // A new balancer reads the view again after this time, to learn the members that joined at the same time.
    std::chrono::milliseconds secondCatchUpDelay { 15000 };
    // For this long after its start a balancer reads the view again whenever a peer knows more members, since the peer
    // that it read from may have started at the same time.
    std::chrono::milliseconds joiningPeriod { 10000 };
    std::chrono::milliseconds minTimeBetweenJoiningCatchUps { 500 };
    // A view is settled if no member was added for this long.
    std::chrono::milliseconds settledAfter { 500 };
    // A newcomer that contacts this balancer is told this many members of its availability zone, those with the fastest
    // links. They read the platform's store for the zone when all start at once.
    std::size_t zoneRowsForNewcomers = 3;
    // Additional members that a joining balancer probes twice in each interval.
    std::size_t joiningProbes = 3;
    // A page that has not arrived within this time is requested again, from another member.
    std::chrono::milliseconds pageTimeout { 200 };
    // One dead member and one unknown address of the VM list are contacted every so many intervals.
    std::size_t intervalsPerRetry = 4;
    // Bytes of gossip in one heartbeat, and in all heartbeats of an interval.
    std::size_t gossipBytes = 400;
    std::size_t gossipBytesPerInterval = 800;
    // Rows beside the gossip, of all members round-robin, that repair lost gossip; per heartbeat and per interval.
    std::size_t antiEntropyRows = 4;
    std::size_t antiEntropyRowsPerInterval = 12;

    // Dead members are kept as tombstones, so that stale gossip does not revive them and the end of a network partition
    // is detected.
    std::chrono::minutes tombstoneLifetime { 120 };
    std::size_t tombstoneLimit = 2048;
};

}
