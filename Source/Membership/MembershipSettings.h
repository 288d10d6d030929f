#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Times, fan-outs and budgets of the membership protocol. All balancers of a fleet use the same.
struct MembershipSettings {
    // One round of the protocol.
    std::chrono::milliseconds interval { 500 };
    // A probe that is unanswered for this long is repeated, directly and through others.
    std::chrono::milliseconds indirectProbeAfter { 600 };
    // A member whose probe is unanswered for this long is suspected.
    std::chrono::milliseconds suspectAfter { 1000 };
    // A suspected member has this long to refute before it is declared dead; large fleets, where news takes longer,
    // multiply it by a third of the binary logarithm of their size.
    std::chrono::milliseconds suspicionTimeout { 1000 };
    // A longer gap between two calls of tick means that the process was paused. Above the shell's tick period.
    std::chrono::milliseconds pauseThreshold { 1000 };
    // While nobody answers for this long, the view is isolated.
    std::chrono::milliseconds isolatedAfter { 2000 };
    // How long a starting balancer waits for an answer before it takes itself for alone.
    std::chrono::milliseconds startupTimeout { 4000 };

    // With so many others or fewer, each is probed each interval; above, one.
    std::size_t meshLimit = 8;
    std::size_t indirectProbes = 3;
    // How many known members, or addresses of the VM list, a balancer that hears from nobody tries each interval.
    std::size_t searchFanOut = 6;
    // How many members hear of a planned stop at once.
    std::size_t leaveFanOut = 16;

    // Budgets for each interval, whatever happens.
    std::size_t verificationsPerInterval = 3;
    // When all of a fleet start together, everybody first asks the few addresses that are in the settings. Answers and
    // pages to all of them together stay below 2 Mbit/s.
    std::size_t answersPerInterval = 64;
    std::size_t indirectProbesPerInterval = 6;
    std::size_t pagesPerInterval = 64;
    std::size_t detailRequestsPerInterval = 4;
    std::size_t catchUpPagesPerInterval = 16;
    // The shortest time from the start of one catch-up to that of the next, when much is missing and when little is.
    std::chrono::milliseconds minTimeBetweenCatchUps { 5000 };
    std::chrono::milliseconds minTimeBetweenSmallCatchUps { 30000 };
    // A newcomer reads the view once more after this time, for those that joined together with it.
    std::chrono::milliseconds secondCatchUpDelay { 15000 };
    // So long after its start a balancer counts as joining: it reads the view again as soon as a peer knows more
    // members, since whoever it read from may have started at the same moment.
    std::chrono::milliseconds joiningPeriod { 10000 };
    std::chrono::milliseconds minTimeBetweenJoiningCatchUps { 500 };
    // A view without a new member for so long has settled.
    std::chrono::milliseconds settledAfter { 500 };
    // Members that it probes in each interval beside the usual.
    std::size_t joiningProbesPerInterval = 3;
    // A page that has not come for so long is asked for again, of another member.
    std::chrono::milliseconds pageTimeout { 200 };
    // A healthy fleet tries one dead member and one unknown address of the VM list every so many intervals.
    std::size_t intervalsPerRetry = 4;
    // Bytes of news in one heartbeat, and in all of an interval.
    std::size_t gossipBytes = 400;
    std::size_t gossipBytesPerInterval = 800;
    // Rows beside the news, all members in turn, so that lost news is made good; a small fleet needs few.
    std::size_t antiEntropyRows = 4;
    std::size_t antiEntropyRowsPerInterval = 12;

    // Dead members are remembered so that old news does not revive them and a cut that heals is noticed.
    std::chrono::minutes tombstoneLifetime { 120 };
    std::size_t tombstoneLimit = 2048;
};

}
