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
    // The quantile of a service's recent answer times that represents its load, 0 to 1. Low, so that it rises only when
    // all servers queue requests, not when a few are slow or fail.
    double quantile = 0.25;
    // As shares of FlowRoute::targetLatency: answer times above the first refuse some new flows, above the second all.
    // Both are below 1, since the duration of requests varies.
    double refuseFrom = 0.35;
    double refuseAllFrom = 0.7;
    // Older answers are ignored.
    std::chrono::milliseconds maxAnswerAge { 1000 };
    // With fewer recent answers nothing is refused.
    std::size_t minAnswers = 8;

    bool operator==(const AdmissionSettings&) const = default;
};

// The decision whether a new flow may be opened.
struct Admission {
    bool isRefused = false;
    // Refused by PriorityAdmission at this level of the service.
    bool isShed = false;
    float level = 0;
    // The priority of the flow's route.
    std::uint32_t priority = 0;
    // The service's answer time at AdmissionSettings::quantile; zero if there are too few recent answers.
    Duration answerTime {};
};

// Admission control for new flows. Refuses new flows of a service while all its servers are overloaded, that is while
// requests wait so long in queues that they would miss the route's target latency. Refused callers learn it at once,
// and the others are served in time. It uses only the answer times of flows that pass this balancer. TokenRouter calls
// it for the first opening packet of every flow.
class OpeningAdmission {
public:
    explicit OpeningAdmission(AdmissionSettings settings = {})
        : settings_(settings)
    {
    }

    // Records the answer time of a request to the service.
    void noteAnswer(const std::string& service, Duration answerTime, TimePoint now);
    // Decides on the first opening packet of a flow. A targetLatency of zero admits every flow. Which flows are refused
    // between the two shares depends only on the flow.
    Admission admit(
        const std::string& service, std::chrono::milliseconds targetLatency, const FlowEnds&, TimePoint now) const;

    // The share of new flows that admit() would refuse, 0 to 1.
    double refusedShare(const std::string& service, std::chrono::milliseconds targetLatency, TimePoint now) const;

private:
    static constexpr std::size_t maxAnswers = 16;

    struct Answer {
        Duration time {};
        TimePoint at = TimePoint::min();
    };
    // Ring buffer of a service's latest answers.
    struct RecentAnswers {
        std::array<Answer, maxAnswers> answers {};
        std::size_t next = 0;
    };

    Duration answerTimeOf(const RecentAnswers&, TimePoint now) const;
    // May be below 0 and above 1.
    double refusedShareAt(Duration answerTime, std::chrono::milliseconds targetLatency) const;

    AdmissionSettings settings_;
    // By service name.
    absl::flat_hash_map<std::string, RecentAnswers> services_;
};

}
