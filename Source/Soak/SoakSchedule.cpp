#include "Soak/SoakSchedule.h"

#include "Core/NameTable.h"
#include "StandIns/SeededRandom.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto stepNames = makeNameTable<SoakStepKind>({
        { SoakStepKind::KillBalancer, "kill_balancer" },
        { SoakStepKind::StopBalancer, "stop_balancer" },
        { SoakStepKind::PauseBalancer, "pause_balancer" },
        { SoakStepKind::ReloadBalancer, "reload_balancer" },
        { SoakStepKind::KillAll, "kill_all" },
        { SoakStepKind::StoreBusy, "store_busy" },
        { SoakStepKind::StoreUnresponsive, "store_silent" },
        { SoakStepKind::StoreSlow, "store_slow" },
        { SoakStepKind::StoreHistoryCompacted, "store_forgets" },
        { SoakStepKind::StoreEntriesExpire, "store_lapses" },
        { SoakStepKind::StoreUnreachable, "store_cut_off" },
        { SoakStepKind::StoreResets, "store_resets" },
        { SoakStepKind::StoreOneWay, "store_one_way" },
        { SoakStepKind::PacketsLost, "packets_lost" },
        { SoakStepKind::PacketsDuplicated, "packets_doubled" },
        { SoakStepKind::PacketsReordered, "packets_reordered" },
        { SoakStepKind::ServerCrashes, "server_crashes" },
        { SoakStepKind::ServerDrains, "server_drains" },
        { SoakStepKind::ServerReplacedInPlace, "server_replaced_in_place" },
        { SoakStepKind::ServerFull, "server_full" },
        { SoakStepKind::RouteAdded, "route_added" },
        { SoakStepKind::RouteRemoved, "route_removed" },
        { SoakStepKind::ConfigurationBurst, "configuration_storm" },
        { SoakStepKind::ServerUnresponsive, "server_mute" },
        { SoakStepKind::ServerResets, "server_resets" },
        { SoakStepKind::StoreStale, "store_stale" },
        { SoakStepKind::ServerRestarts, "server_starts_again" },
        { SoakStepKind::ForeignEntries, "foreign_entries" },
        { SoakStepKind::ZoneEvacuated, "zone_evacuated" },
        { SoakStepKind::ZoneServersRestart, "zone_silent" },
        { SoakStepKind::StoreRestored, "store_restored" },
        { SoakStepKind::LiveServerCopied, "live_server_copied" },
        { SoakStepKind::LiveServerOverwritten, "live_server_overwritten" },
        { SoakStepKind::StoreMixed, "store_mixed" },
        { SoakStepKind::KillMost, "kill_most" },
    });
    static_assert(stepNames.rows().size() == soakStepKindCount);

    // Steps begin after warmupPart and before faultPart of the run's length; the rest is for recovery.
    constexpr double faultPart = 0.55;
    constexpr double warmupPart = 0.1;
    constexpr double stepsPerSecond = 0.9;
    constexpr double addedStepsPerSecond = 0.3;
    constexpr double repeatProbability = 0.25;

    // A random step of a kind in [first, end), except KillAll.
    SoakStep generateStep(SeededRandom& random, std::chrono::milliseconds at, std::size_t first, std::size_t end)
    {
        SoakStep step;
        step.at = at;
        do
            step.kind = stepNames.rows()[first + random.next() % (end - first)].first;
        while (step.kind == SoakStepKind::KillAll);
        step.target = static_cast<std::uint32_t>(random.next() % 1000);
        step.length = std::chrono::milliseconds(static_cast<int>(random.nextBetween(500, 4000)));
        return step;
    }

    // One disturbance at a time at which the bounds apply to the balancers that it concerns, by seed. Seeds that
    // restore the store late have none.
    void addPlannedDisturbance(SoakPlan& plan, SeededRandom& random)
    {
        const auto total = static_cast<double>(plan.length.count());
        const auto add
            = [&](double part, std::chrono::milliseconds offset, SoakStepKind kind, std::chrono::milliseconds length) {
                  const auto at = std::chrono::milliseconds(static_cast<int>(total * part)) + offset;
                  plan.steps.push_back({ at, kind, static_cast<std::uint32_t>(random.next() % 1000), length });
              };
        switch (plan.seed % 4) {
        case 1:
            // All balancers list the store again while its copies differ by servers that drain.
            add(faultPart, -1500ms, SoakStepKind::StoreMixed, 6s);
            for (int i = 0; i < 3; ++i)
                add(faultPart, -1000ms, SoakStepKind::ServerDrains, plan.length);
            break;
        case 3:
            // The planned operations follow while only two balancers are left.
            add(0.775, -killMostDelay, SoakStepKind::KillMost, plan.length);
            break;
        default:
            break;
        }
        if (plan.seed % 2 == 1) {
            add(0.62, 0ms, SoakStepKind::LiveServerOverwritten, {});
            add(0.62, 0ms, SoakStepKind::LiveServerCopied, 3s);
        }
    }

}

std::string_view nameOf(SoakStepKind kind) { return stepNames.name(kind); }

std::string SoakStep::toString() const
{
    return fmt::format(
        "{:.2f} s {} (target {}, {} ms)", static_cast<double>(at.count()) / 1000, nameOf(kind), target, length.count());
}

SoakPlan generateSoakPlan(std::uint64_t seed, std::chrono::milliseconds length)
{
    SeededRandom random(seed);
    SoakPlan plan { seed, length, {} };
    const auto total = static_cast<double>(length.count());
    const auto count = static_cast<int>(total / 1000 * faultPart * stepsPerSecond);
    for (int i = 0; i < count; ++i) {
        const double at = random.nextBetween(warmupPart, faultPart) * total;
        const SoakStep step
            = generateStep(random, std::chrono::milliseconds(static_cast<int>(at)), 0, firstAddedStepKind);
        plan.steps.push_back(step);
        if (random.nextUniform() >= repeatProbability)
            continue;
        // The same kind again shortly after, with another target.
        SoakStep next = step;
        next.at += std::chrono::milliseconds(static_cast<int>(random.nextBetween(100, 1200)));
        next.target = static_cast<std::uint32_t>(random.next() % 1000);
        plan.steps.push_back(next);
    }
    const auto addKinds = [&](std::uint64_t salt, std::size_t first, std::size_t end) {
        SeededRandom added(seed ^ salt);
        const auto addedCount = static_cast<int>(total / 1000 * faultPart * addedStepsPerSecond);
        for (int i = 0; i < addedCount; ++i) {
            const double at = added.nextBetween(warmupPart, faultPart) * total;
            plan.steps.push_back(generateStep(added, std::chrono::milliseconds(static_cast<int>(at)), first, end));
        }
    };
    addKinds(0xADDED, firstAddedStepKind, firstIdentityStepKind);
    addKinds(0x1DE17, firstIdentityStepKind, firstZoneStepKind);
    addKinds(0x20E5, firstZoneStepKind, firstRestoreStepKind);
    addKinds(0xE2A, firstRestoreStepKind, firstForeignStepKind);
    addKinds(0xF02E, firstForeignStepKind, firstPlannedStepKind);
    plan.steps.push_back({ std::chrono::milliseconds(static_cast<int>(total * faultPart)), SoakStepKind::KillAll, 0,
        std::chrono::milliseconds(static_cast<int>(random.nextBetween(300, 1200))) });
    // Planned operations while nothing is disturbed, so that the bounds apply to every forwarder.
    constexpr double undisturbedPart = 0.78;
    const auto timeAt = [&](double part) { return std::chrono::milliseconds(static_cast<int>(total * part)); };
    for (const SoakStepKind kind : { SoakStepKind::RouteRemoved, SoakStepKind::RouteAdded, SoakStepKind::ServerDrains })
        plan.steps.push_back({ timeAt(undisturbedPart), kind, static_cast<std::uint32_t>(random.next() % 1000), {} });
    plan.steps.push_back(
        { timeAt(undisturbedPart), SoakStepKind::ZoneEvacuated, static_cast<std::uint32_t>(seed), length });
    // Restored late enough to be the last disturbance, and early enough for the bounds to apply to those operations.
    constexpr double lastRestorePart = 0.62;
    if (seed % 2 == 0)
        plan.steps.push_back({ timeAt(lastRestorePart), SoakStepKind::StoreRestored,
            static_cast<std::uint32_t>(seed / 2), std::chrono::milliseconds(600) });
    addPlannedDisturbance(plan, random);
    std::ranges::stable_sort(plan.steps, {}, &SoakStep::at);
    return plan;
}

}
