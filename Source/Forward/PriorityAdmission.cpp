#include "Forward/PriorityAdmission.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Makes this hash independent of other hashes of the same caller.
    constexpr std::uint64_t shedSeed = 0x73686564;
    // The demand to which flows are admitted, as a share of the slots. Above 1, since servers without any waiting
    // requests would be idle at times.
    constexpr float admittedDemand = 1.02F;
    // The level rises only if servers reject more than the first share of the attempts, and falls below the second.
    constexpr float toleratedRejections = 0.02F;
    constexpr float fewRejections = 0.01F;
    // Answers count as late only with more requests in progress per slot, since the wait for one request is well within
    // callers' target latencies.
    constexpr float lateFrom = 2;
    // Nothing is refused while fewer requests are in progress per slot, whatever the level.
    constexpr float idleBelow = 0.7F;
    // Changes of the level per second. It falls more slowly than the load becomes known, so that it does not oscillate.
    constexpr float maxRise = 0.8F;
    constexpr float maxFall = 0.25F;
    constexpr float maxFallWhenIdle = 1;
    // The usual time from a change of the level until the load shows it: half of a report interval, the way of a
    // digest and the time until the next tick. With less, an excess is corrected twice, and the level oscillates.
    constexpr std::chrono::milliseconds loadDelay { 1250 };
    // A caller that is refused stays refused about this long, unless the level falls.
    constexpr std::chrono::seconds window { 10 };
    // Limits the change after a pause of the process.
    constexpr float maxStepSeconds = 0.5F;
    // With fewer admitted openings, the demand of a priority says too little about its refused part.
    constexpr float minAdmittedShare = 0.1F;

}

float PriorityAdmission::refusedShare(float level, std::size_t rank)
{
    return std::clamp(level - static_cast<float>(rank), 0.0F, 1.0F);
}

// The demand that is known was admitted under the level of loadDelay ago, so dividing by the share that was admitted
// then gives what callers ask for. A correction relative to the present level would be repeated until its effect shows.
float PriorityAdmission::targetOf(const Level& level, float formerLevel, const ServiceDemand& demand, double lateShare)
{
    const bool isLate = lateShare > 0 && demand.inProgress() > lateFrom * demand.slots();
    const float total = demand.total();
    float allowed = admittedDemand * demand.slots();
    if (isLate)
        allowed = std::min(allowed, (1 - static_cast<float>(lateShare)) * total);
    std::vector<float> offered;
    float excess = -allowed;
    for (std::size_t rank = 0; rank < level.priorities.size(); ++rank) {
        const float admitted = std::max(minAdmittedShare, 1 - refusedShare(formerLevel, rank));
        offered.push_back(
            demand.ofPriority(*(level.priorities.rbegin() + static_cast<std::ptrdiff_t>(rank))) / admitted);
        excess += offered.back();
    }
    float target = 0;
    for (std::size_t rank = 0; rank < offered.size() && excess > 0; ++rank) {
        target += offered[rank] > excess ? excess / offered[rank] : 1;
        excess -= offered[rank];
    }
    // Without rejections and late answers, requests in progress alone don't show how much more the servers could do.
    const float rejected = demand.rejectedShare();
    if (demand.inProgress() <= demand.slots() || (!isLate && rejected < fewRejections))
        return 0;
    return isLate || rejected > toleratedRejections ? target : std::min(target, level.value);
}

void PriorityAdmission::update(const std::string& service, const ServiceDemand& demand,
    const std::vector<std::uint32_t>& priorities, double lateShare, TimePoint now)
{
    Level& level = services_[service];
    level.priorities = priorities;
    const std::chrono::duration<float> elapsed
        = level.updatedAt == TimePoint::min() ? Duration() : now - level.updatedAt;
    const float seconds = std::clamp(elapsed.count(), 0.0F, maxStepSeconds);
    level.updatedAt = now;
    while (level.former.size() > 1 && now - level.former[1].first >= loadDelay)
        level.former.pop_front();
    const float formerLevel = level.former.empty() ? level.value : level.former.front().second;
    level.isIdle = demand.inProgress() < idleBelow * demand.slots();
    const float target = targetOf(level, formerLevel, demand, lateShare);
    level.value
        += std::clamp(target - level.value, -(level.isIdle ? maxFallWhenIdle : maxFall) * seconds, maxRise * seconds);
    level.value = std::clamp(level.value, 0.0F, static_cast<float>(priorities.size()));
    level.former.emplace_back(now, level.value);
    report(service, level, &demand);
}

void PriorityAdmission::forget(const std::string& service)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    found->second.value = 0;
    report(service, found->second, nullptr);
    services_.erase(found);
}

void PriorityAdmission::report(const std::string& service, Level& level, const ServiceDemand* demand)
{
    const bool isPassed = !level.isReported && level.value >= reportedLevel;
    const bool isOver = level.isReported && level.value <= 0;
    if (!isPassed && !isOver)
        return;
    level.isReported = isPassed;
    changes_.push_back({ service, level.value, demand ? demand->total() : 0, demand ? demand->slots() : 0 });
}

bool PriorityAdmission::isRefused(
    const std::string& service, std::uint32_t priority, Endpoint caller, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.value <= 0 || found->second.isIdle)
        return false;
    const Level& level = found->second;
    const auto moreUrgent = std::ranges::lower_bound(level.priorities, priority) - level.priorities.begin();
    const std::size_t rank
        = level.priorities.size() - 1 - std::min<std::size_t>(moreUrgent, level.priorities.size() - 1);
    // Windows of different callers end at different times, so that the load does not change for all at once.
    const std::uint64_t callerHash = hashPair(shedSeed, caller.address);
    const auto time = (now + wallClockOffset_).time_since_epoch()
        + std::chrono::nanoseconds(callerHash % std::uint64_t(std::chrono::nanoseconds(window).count()));
    const std::uint64_t hash = hashPair(callerHash, static_cast<std::uint64_t>(time / window));
    const float uniform = static_cast<float>(hash >> 40) / static_cast<float>(1U << 24);
    return uniform < refusedShare(level.value, rank);
}

float PriorityAdmission::levelOf(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() || found->second.isIdle ? 0 : found->second.value;
}

}
