#include "LoadReports/ZoneReports.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace wisteriadock {

bool ZoneReports::put(
    BalancerId sender, std::uint64_t incarnation, std::uint32_t sequence, std::vector<ObservedLoad> rows, TimePoint now)
{
    const auto [entry, isNew] = reports_.try_emplace(sender.value);
    Report& report = entry->second;
    if (!isNew && std::pair(incarnation, sequence) <= std::pair(report.incarnation, report.sequence))
        return false;
    report = { incarnation, sequence, now, std::move(rows) };
    return true;
}

void ZoneReports::keepOnly(std::span<const BalancerId> senders)
{
    absl::erase_if(
        reports_, [&](const auto& row) { return !std::ranges::binary_search(senders, BalancerId { row.first }); });
}

bool ZoneReports::hasReportOfOthers(BalancerId self, TimePoint since) const
{
    return std::ranges::any_of(
        reports_, [&](const auto& row) { return row.first != self.value && row.second.receivedAt >= since; });
}

ZoneLoad ZoneReports::sum(std::uint32_t alive, TimePoint now) const
{
    ZoneLoad zone;
    std::map<std::tuple<std::string_view, std::string_view, std::uint32_t>, RequestLoad> sums;
    for (const auto& [sender, report] : reports_) {
        if (now - report.receivedAt >= lifetime_)
            continue;
        ++zone.covered;
        for (const ObservedLoad& row : report.rows)
            addLoad(sums[{ row.service, row.serverZone, row.priority }], row.load);
    }
    zone.alive = std::max(alive, zone.covered);
    if (zone.covered == 0)
        return zone;
    const float factor = static_cast<float>(zone.alive) / static_cast<float>(zone.covered);
    for (const auto& [key, load] : sums) {
        const auto& [service, serverZone, priority] = key;
        zone.rows.push_back({ std::string(service), std::string(serverZone), priority, scaledLoad(load, factor) });
    }
    return zone;
}

}
