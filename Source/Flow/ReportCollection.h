#pragma once

#include "Flow/ChangeContext.h"
#include "Flow/FlowParts.h"

#include <map>
#include <optional>

namespace wisteriadock {

// The arbiter's state of a table change before the switch: requests a report of flows from every other balancer until
// all that are not dead have sent one. A balancer that gets the request forwards unknown flows of the changed buckets
// to the arbiter. TableSynchronizer owns the collection.
class ReportCollection {
public:
    explicit ReportCollection(std::uint64_t generation)
        : generation_(generation)
    {
    }

    std::uint64_t generation() const { return generation_; }

    // Sends the request to members whose report is incomplete and a Hold message to the others, at most once per retry
    // interval. A member that gets no message from the arbiter for some seconds gives up its promise and its table.
    void sendRequests(const FlowMessage& request, const ChangeContext&);

    // Records a part of a report. Returns whether the part is new.
    bool accept(BalancerId from, const FlowMessage& report);

    // Restarts the timeout of a member that is busy with an earlier change or still sends its report. Switching without
    // its complete report would break the flows that only this member knows.
    void recordProgress(BalancerId from, TimePoint now) { reports_[from].waitingSince = now; }

    bool isComplete(const ChangeContext&) const;
    // Whether the report timeout has elapsed for every member whose report is incomplete. The timeout runs per member
    // from the first request to it, so a member that joins late gets the full time.
    bool hasTimedOut(const ChangeContext&) const;

    // The member's settled generation at the time of its report; none if the report is incomplete.
    std::optional<std::uint64_t> settledGenerationOf(BalancerId) const;

private:
    struct MemberReport {
        PartReceiver parts;
        std::uint64_t settledGeneration = 0;
        std::optional<TimePoint> requestedAt;
        // Time of the first request or of the latest progress.
        std::optional<TimePoint> waitingSince;
    };

    const std::uint64_t generation_;
    std::map<BalancerId, MemberReport> reports_;
};

}
