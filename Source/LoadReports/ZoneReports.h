#pragma once

#include "LoadReports/ZoneLoad.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <vector>

namespace wisteriadock {

// The newest load report of each balancer of a zone. Its aggregator sums them up. LoadExchange uses it.
class ZoneReports {
public:
    // Older reports are not summed up.
    explicit ZoneReports(Duration lifetime)
        : lifetime_(lifetime)
    {
    }

    // Returns false for a report that is not newer than the last one of its sender.
    bool put(BalancerId sender, std::uint64_t incarnation, std::uint32_t sequence, std::vector<ObservedLoad> rows,
        TimePoint now);
    // Forgets the senders that are not among these, which are sorted.
    void keepOnly(std::span<const BalancerId> senders);

    // Whether a report of another balancer arrived since then.
    bool hasReportOfOthers(BalancerId self, TimePoint since) const;
    // Adds up the reports and scales the sum to the number of live balancers, since not all of them report in each
    // interval. Sets covered, alive and rows.
    ZoneLoad sum(std::uint32_t alive, TimePoint now) const;

private:
    struct Report {
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
        TimePoint receivedAt;
        std::vector<ObservedLoad> rows;
    };

    const Duration lifetime_;
    absl::flat_hash_map<std::uint32_t, Report> reports_;
};

}
