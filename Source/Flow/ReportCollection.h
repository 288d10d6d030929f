#pragma once

#include "Flow/ChangeContext.h"
#include "Flow/FlowParts.h"

#include <map>
#include <optional>

namespace wisteriadock {

// The arbiter's side of a change before the switch: asks every other balancer to stop deciding for the buckets that
// change and to report its flows in them, until all that are up have done so.
class ReportCollection {
public:
    explicit ReportCollection(std::uint64_t generation)
        : generation_(generation)
    {
    }

    std::uint64_t generation() const { return generation_; }

    // Sends requests to those that have not reported yet, and asks the others to hold on: a member that hears nothing
    // takes the change for given up and decides on its own again. The message names the service and generations.
    void sendRequests(const FlowMessage& request, const ChangeContext&);

    // Counts a part. Returns whether the part was new.
    bool accept(BalancerId from, const FlowMessage& report);

    // The member is up but bound to an earlier change, or still sending its report. Going on without the whole report
    // would break the flows that only it knows, so that patience with it starts anew.
    void recordProgress(BalancerId from, TimePoint now) { reports_[from].waitingSince = now; }

    bool isComplete(const ChangeContext&) const;
    // Whether everybody whose report is missing has been silent for too long. Each is given the whole time, also one
    // that has just joined.
    bool hasTimedOut(const ChangeContext&) const;

    // The generation by which the member decided when it reported; none if it has not reported whole.
    std::optional<std::uint64_t> settledGenerationOf(BalancerId) const;

private:
    struct MemberReport {
        PartReceiver parts;
        std::uint64_t settledGeneration = 0;
        std::optional<TimePoint> requestedAt;
        std::optional<TimePoint> waitingSince;
    };

    const std::uint64_t generation_;
    std::map<BalancerId, MemberReport> reports_;
};

}
