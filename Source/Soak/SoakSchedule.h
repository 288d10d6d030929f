#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The faults and planned operations of a run.
enum class SoakStepKind {
    KillBalancer, // SIGKILL, restarted after the step's length.
    StopBalancer, // SIGTERM, restarted after it exited.
    PauseBalancer, // SIGSTOP for the step's length.
    ReloadBalancer, // Settings file rewritten, then SIGHUP.
    KillAll,
    StoreBusy, // See SoakStore::Fault, as for the next two kinds.
    StoreUnresponsive,
    StoreSlow,
    StoreHistoryCompacted, // Watches from older revisions fail.
    StoreEntriesExpire, // Busy; the entries of some servers expire meanwhile and return after it.
    StoreUnreachable, // One balancer cannot reach the store.
    StoreResets, // One balancer's connections to the store are reset.
    StoreOneWay, // The store's answers do not reach one balancer.
    PacketsLost, // At one balancer, as in the next two kinds.
    PacketsDuplicated,
    PacketsReordered,
    ServerCrashes, // Without deregistering; its entry expires after three heartbeats.
    ServerDrains, // Its entry says so, and a replacement is started.
    ServerReplacedInPlace, // Crashes; another service's server gets its address.
    ServerFull, // Ignores opening packets for a while.
    RouteAdded,
    RouteRemoved,
    ConfigurationBurst, // Several versions in quick succession.
    ServerUnresponsive, // Accepts flows and never answers a request.
    ServerResets, // Accepts flows and resets them at their next request.
    StoreStale, // Listings that may be stale show the state at the step's start.
    ServerRestarts, // Crashes, and restarts under its id before its entry expires.
    ForeignEntries, // Invalid values in a server's entry and in keys that belong to no server, for the step's length.
    ZoneEvacuated, // The evacuation of a zone, revoked some seconds after the step's length.
    ZoneServersRestart, // All servers of a zone crash, and restart cold under their ids after the step's length.
    StoreRestored, // Goes away, and comes back from a copy as old as the step's length. What it lost is written again.
    LiveServerCopied, // Another writer registers a live server's address under another id and service.
    LiveServerOverwritten, // Another writer overwrites a live server's entry, until the server writes it again.
    StoreMixed, // As StoreStale, but only every second page of a listing shows the state at the step's start.
    KillMost, // Two balancers start anew, and after killMostDelay all others lose power for the step's length.
};

inline constexpr std::size_t soakStepKindCount = 35;
// The first step kind of each group that has its own random generator. A separate generator keeps the other steps of a
// seed unchanged when a group is added.
inline constexpr std::size_t firstAddedStepKind = 23;
inline constexpr std::size_t firstIdentityStepKind = 26;
inline constexpr std::size_t firstZoneStepKind = 28;
inline constexpr std::size_t firstRestoreStepKind = 30;
inline constexpr std::size_t firstForeignStepKind = 31;
// From here on, kinds are not drawn at random but planned for some seeds.
inline constexpr std::size_t firstPlannedStepKind = 34;

// Longer than SoakBounds::settleTime, so that the bounds apply to the two balancers that are left.
inline constexpr std::chrono::milliseconds killMostDelay { 4600 };

std::string_view nameOf(SoakStepKind);

struct SoakStep {
    std::chrono::milliseconds at { 0 }; // Relative to the start of the run.
    SoakStepKind kind = SoakStepKind::KillBalancer;
    // Selects the balancer, server, zone or route, modulo their number.
    std::uint32_t target = 0;
    std::chrono::milliseconds length { 0 };

    std::string toString() const;
};

struct SoakPlan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length { 20000 };
    std::vector<SoakStep> steps;
};

// Generates the schedule of a seed: overlapping and repeated steps, then all balancers are killed, then a time without
// faults in which the service must recover. The same seed and length give the same schedule on every machine.
SoakPlan generateSoakPlan(std::uint64_t seed, std::chrono::milliseconds length);

}
