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
    ReportCollection(std::uint64_t generation, TimePoint startedAt)
        : generation_(generation)
        , patientSince_(startedAt)
    {
    }

    std::uint64_t generation() const { return generation_; }

    // Sends requests to those that have not reported yet, and asks the others to hold on: a member that hears nothing
    // takes the change for given up and decides on its own again. The message names the service and generations.
    void sendRequests(const FlowMessage& request, const ChangeContext&);

    // Counts a part. Returns whether the part was new.
    bool accept(BalancerId from, const FlowMessage& report);

    // A member is up but bound to an earlier change, or still sending its report. Going on without the whole report
    // would break the flows that only it knows, so that patience starts anew.
    void noteProgress(TimePoint now) { patientSince_ = now; }

    bool isComplete(const ChangeContext&) const;
    bool patienceIsOver(const ChangeContext&) const;

    // The generation by which the member decided when it reported; none if it has not reported whole.
    std::optional<std::uint64_t> settledGenerationOf(BalancerId) const;

private:
    struct MemberReport {
        PartReceiver parts;
        std::uint64_t settledGeneration = 0;
        std::optional<TimePoint> requestedAt;
    };

    const std::uint64_t generation_;
    TimePoint patientSince_;
    std::map<BalancerId, MemberReport> reports_;
};

}
