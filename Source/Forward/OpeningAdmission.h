#pragma once

#include "Core/Clock.h"
#include "Forward/TokenPacket.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wisteriadock {

struct AdmissionSettings {
    // Which of a service's recent answer times stands for it, as a share of them from the fastest. A quarter: when some
    // servers are slow or fail, others answer as usual and this stays low; when all have queues it rises for all.
    double quantile = 0.25;
    // From this share of the time within which callers want their answer (FlowRoute::aim) on some new flows are
    // refused, and from the second on all. Work itself varies, so that a request which waits for half of its aim is
    // late as often as not. Figures in docs/LOAD.md.
    double refuseFrom = 0.35;
    double refuseAllFrom = 0.7;
    // Answers that are older say nothing of now. A balancer of a large zone sees one of a service every 50 ms.
    std::chrono::milliseconds maxAnswerAge { 1000 };
    // With fewer answers nothing is refused.
    std::size_t minAnswers = 8;

    bool operator==(const AdmissionSettings&) const = default;
};

// Whether a new flow may be opened, and why.
struct Admission {
    bool isRefused = false;
    // What stands for the service's answer times; zero when too little is known.
    Duration answerTime {};
};

// Refuses new flows of a service whose servers all have queues so long that the flow's request would be late. Without
// it all requests wait in full queues and all are late: callers who are told at once can do something else, and the
// others are served in time. Load that this answers: callers ask for more than all slots together can do, for longer
// than queues last. It sees only answer times of flows that pass this balancer, no health checks and no load reports.
class OpeningAdmission {
public:
    explicit OpeningAdmission(AdmissionSettings settings = {})
        : settings_(settings)
    {
    }

    // A request of the service was answered after so long.
    void noteAnswer(const std::string& service, Duration took, TimePoint now);
    // A flow's first opening packet asks for the service; aim is zero where operators named none. Which flows are
    // refused between the two shares depends on the flow alone.
    Admission admit(
        const std::string& service, std::chrono::milliseconds targetLatency, const FlowEnds&, TimePoint now) const;

private:
    static constexpr std::size_t remembered = 16;

    struct Answer {
        Duration took {};
        TimePoint at = TimePoint::min();
    };
    // The latest answers of a service, the oldest overwritten first.
    struct Recent {
        std::array<Answer, remembered> answers {};
        std::size_t next = 0;
    };

    Duration answerTimeOf(const Recent&, TimePoint now) const;

    AdmissionSettings settings_;
    absl::flat_hash_map<std::string, Recent> services_;
};

}
