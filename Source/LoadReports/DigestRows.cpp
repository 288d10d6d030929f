#include "LoadReports/DigestRows.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace wisteriadock {

namespace {

    // The requests of one priority class of a service by the callers of one zone.
    using ClassKey = std::tuple<std::size_t, std::string_view, std::uint32_t>;

    struct RankedRow {
        std::size_t zone = 0;
        const ObservedLoad* row = nullptr;
        bool isFirstOfClass = false;
        float serviceRequests = 0;

        ClassKey classKey() const { return { zone, row->service, row->priority }; }
    };

    float requestsOf(const ObservedLoad& row) { return row.load.inProgress + row.load.begun; }

    std::vector<RankedRow> rankedRows(const std::vector<ZoneLoad>& zones)
    {
        std::vector<RankedRow> ranked;
        std::map<std::string_view, float> requests;
        for (std::size_t zone = 0; zone < zones.size(); ++zone) {
            for (const ObservedLoad& row : zones[zone].rows) {
                ranked.push_back({ zone, &row });
                requests[row.service] += requestsOf(row);
            }
        }
        std::ranges::stable_sort(
            ranked, std::greater {}, [](const RankedRow& entry) { return requestsOf(*entry.row); });
        std::map<ClassKey, bool> seen;
        for (RankedRow& entry : ranked) {
            entry.isFirstOfClass = !std::exchange(seen[entry.classKey()], true);
            entry.serviceRequests = requests[entry.row->service];
        }
        std::ranges::stable_sort(ranked, std::greater {},
            [](const RankedRow& entry) { return std::pair(entry.isFirstOfClass, entry.serviceRequests); });
        return ranked;
    }

}

void limitRows(std::vector<ZoneLoad>& zones, std::size_t maxRows)
{
    std::size_t total = 0;
    for (const ZoneLoad& zone : zones)
        total += zone.rows.size();
    if (total <= maxRows)
        return;
    std::vector<std::vector<ObservedLoad>> kept(zones.size());
    // The position of each class's largest row among the kept ones.
    std::map<ClassKey, std::size_t> positions;
    std::size_t count = 0;
    for (const RankedRow& entry : rankedRows(zones)) {
        std::vector<ObservedLoad>& rows = kept[entry.zone];
        const auto position = positions.find(entry.classKey());
        if (count < maxRows) {
            positions.try_emplace(entry.classKey(), rows.size());
            rows.push_back(*entry.row);
            ++count;
        } else if (position != positions.end()) {
            addLoad(rows[position->second].load, entry.row->load);
        }
    }
    for (std::size_t zone = 0; zone < zones.size(); ++zone)
        zones[zone].rows = std::move(kept[zone]);
}

}
