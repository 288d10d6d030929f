#include "Forward/ZoneSpillover.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Makes this hash independent of other hashes of the same flow.
    constexpr std::uint64_t spilloverSeed = 0x7370696c;
    // Limits the change after a pause of the process.
    constexpr float maxStepSeconds = 0.5F;
    // Smaller shares are dropped, so that shares return to zero.
    constexpr float minShare = 0.001F;

}

float ZoneSpillover::fullShareOf(const ServiceDemand& demand, const std::vector<ZoneSlots>& zones)
{
    float totalSlots = 0;
    float totalDemand = 0;
    for (const ZoneSlots& zone : zones) {
        totalSlots += zone.slots;
        totalDemand += demand.ofCallers(zone.availabilityZone);
    }
    return totalSlots > 0 ? std::max(fullFrom, totalDemand / totalSlots) : fullFrom;
}

// The room of another zone is divided among zones in proportion to their excess, so that all of them together never
// send more than there is room.
std::map<std::string, float> ZoneSpillover::targetsOf(
    const ServiceDemand& demand, const std::vector<ZoneSlots>& zones) const
{
    std::map<std::string, float> targets;
    const float ownDemand = demand.ofCallers(availabilityZone_);
    if (demand.slots() <= 0 || ownDemand <= 0)
        return targets;
    const float full = fullShareOf(demand, zones);
    float ownExcess = ownDemand;
    float excess = 0;
    float room = 0;
    for (const ZoneSlots& zone : zones) {
        const float over = demand.ofCallers(zone.availabilityZone) - full * zone.slots;
        if (zone.availabilityZone == availabilityZone_)
            ownExcess = over;
        excess += std::max(0.0F, over);
        room += std::max(0.0F, -over);
        if (over < 0 && zone.availabilityZone != availabilityZone_)
            targets[zone.availabilityZone] = -over;
    }
    if (std::ranges::find(zones, availabilityZone_, &ZoneSlots::availabilityZone) == zones.end())
        excess += ownExcess;
    for (auto& [zone, share] : targets)
        share = ownExcess > 0 ? std::min(1.0F, share * ownExcess / std::max(excess, room) / ownDemand) : 0;
    return targets;
}

void ZoneSpillover::update(
    const std::string& service, const ServiceDemand& demand, const std::vector<ZoneSlots>& zones, TimePoint now)
{
    Spill& spill = spills_[service];
    const std::chrono::duration<float> elapsed
        = spill.updatedAt == TimePoint::min() ? Duration() : now - spill.updatedAt;
    const float step = maxChange * std::clamp(elapsed.count(), 0.0F, maxStepSeconds);
    spill.updatedAt = now;
    const std::map<std::string, float> targets = targetsOf(demand, zones);
    std::erase_if(spill.shares, [&](const auto& entry) {
        return std::ranges::find(zones, entry.first, &ZoneSlots::availabilityZone) == zones.end();
    });
    for (const ZoneSlots& zone : zones) {
        if (zone.availabilityZone == availabilityZone_)
            continue;
        const auto target = targets.find(zone.availabilityZone);
        float& share = spill.shares[zone.availabilityZone];
        share += std::clamp((target == targets.end() ? 0 : target->second) - share, -step, step);
    }
    std::erase_if(spill.shares, [](const auto& entry) { return entry.second < minShare; });
    report(service, spill, demand.ofCallers(availabilityZone_));
}

void ZoneSpillover::forget(const std::string& service)
{
    const auto found = spills_.find(service);
    if (found == spills_.end())
        return;
    found->second.shares.clear();
    report(service, found->second, 0);
    spills_.erase(found);
}

void ZoneSpillover::report(const std::string& service, Spill& spill, float demand)
{
    for (const auto& [zone, share] : spill.shares) {
        if (share >= reportedShare && spill.reported.try_emplace(zone, true).second)
            changes_.push_back({ service, zone, share, demand });
    }
    std::erase_if(spill.reported, [&](const auto& entry) {
        if (spill.shares.contains(entry.first))
            return false;
        changes_.push_back({ service, entry.first, 0, demand });
        return true;
    });
}

const std::string* ZoneSpillover::zoneOf(const std::string& service, std::uint64_t flowHash) const
{
    const auto found = spills_.find(service);
    if (found == spills_.end() || found->second.shares.empty())
        return nullptr;
    float rest = static_cast<float>(hashPair(spilloverSeed, flowHash) >> 40) / static_cast<float>(1U << 24);
    for (const auto& [zone, share] : found->second.shares) {
        if (rest < share)
            return &zone;
        rest -= share;
    }
    return nullptr;
}

std::map<std::string, float> ZoneSpillover::sharesOf(const std::string& service) const
{
    const auto found = spills_.find(service);
    return found == spills_.end() ? std::map<std::string, float>() : found->second.shares;
}

}
