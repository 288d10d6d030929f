#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// The health of a server in the response of /health.
enum class BackendHealth {
    Healthy,
    Draining,
    Failing,
};

std::string_view nameOf(BackendHealth);
std::optional<BackendHealth> parseBackendHealth(std::string_view);

// The state of a server at one moment.
struct BackendSample {
    TimePoint at;
    BackendHealth health = BackendHealth::Healthy;
    std::size_t runningRequests = 0;
    std::size_t liveFlows = 0;
};

// Simulated faults of /health and /load. An experiment can change them while the server runs.
struct BackendStatusOverrides {
    // The endpoints report the state of this long ago.
    Duration lag = Duration::zero();
    // Values reported instead of the real ones; unset for the real ones.
    std::optional<BackendHealth> health;
    std::optional<std::size_t> runningRequests;
    std::optional<std::size_t> liveFlows;
};

// Keeps the recent samples of one server's state and selects the one that its /health and /load endpoints report.
// BackendStandInServer adds the samples.
class BackendStatus {
public:
    // Samples must be added in the order of their times.
    void add(const BackendSample&);

    // The state that the endpoints report, with the lag and the overrides applied.
    BackendSample reported(TimePoint now) const;

    BackendStatusOverrides& overrides() { return overrides_; }

private:
    static constexpr std::size_t maxSamples = 4096;

    std::deque<BackendSample> samples_;
    BackendStatusOverrides overrides_;
};

}
