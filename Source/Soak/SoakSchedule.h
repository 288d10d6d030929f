#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// What is done to the system from outside.
enum class SoakStepKind {
    KillBalancer, // SIGKILL, started again after the step's time.
    StopBalancer, // SIGTERM, started again once it ended.
    PauseBalancer, // SIGSTOP for the step's time.
    ReloadBalancer, // Settings rewritten, and SIGHUP.
    KillAll,
    StoreBusy,
    StoreSilent,
    StoreSlow,
    StoreHistoryCompacted, // Its history is gone.
    StoreEntriesExpire, // Busy, and the entries of some servers vanish meanwhile and come back after it.
    StoreUnreachable, // One balancer does not reach the store.
    StoreResets, // One balancer's connections to the store are reset.
    StoreOneWay, // The store's answers do not reach one balancer.
    PacketsLost, // Of one balancer, as are the next two.
    PacketsDuplicated,
    PacketsReordered,
    ServerCrashes, // Without a word; its entry vanishes after three heartbeats.
    ServerDrains, // And another one takes its place.
    ServerReplacedInPlace, // Crashes; another service's server gets its address.
    ServerFull, // Takes no new flows for a while.
    RouteAdded,
    RouteRemoved,
    ConfigurationBurst, // Versions in quick succession.
    ServerUnresponsive, // Takes flows and requests, and never answers a request.
    ServerResets, // Takes flows, and resets them at their next request.
    StoreStale, // Listings that may be old are as old as the step.
    ServerRestarts, // Crashes, and starts again under its id before its entry lapses.
    ForeignEntries, // Another writer spoils a server's entry, and leaves some of its own, until the step ends.
    ZoneEvacuated, // Operators order a zone to be emptied until some seconds after the step's time.
    ZoneServersRestart, // All servers of a zone end together, and start again together under their ids, cold.
};

inline constexpr std::size_t soakStepKindCount = 30;
// The kinds from each of these on are drawn apart from the others, so that older seeds keep their steps.
inline constexpr std::size_t firstAddedStepKind = 23;
inline constexpr std::size_t firstIdentityStepKind = 26;
inline constexpr std::size_t firstZoneStepKind = 28;

std::string_view nameOf(SoakStepKind);

struct SoakStep {
    std::chrono::milliseconds at { 0 };
    SoakStepKind kind = SoakStepKind::KillBalancer;
    // Picks the balancer or server among those there are.
    std::uint32_t target = 0;
    std::chrono::milliseconds length { 0 };

    std::string toString() const;
};

struct SoakPlan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length { 20000 };
    std::vector<SoakStep> steps;
};

// The schedule of a seed: steps that overlap and come in series, then everything is killed, and a calm time in which
// everything has to work again. The same seed and length give the same schedule on every machine.
SoakPlan generateSoakPlan(std::uint64_t seed, std::chrono::milliseconds length);

}
