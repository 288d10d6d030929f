#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// What the /health endpoint says about a server.
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

// How /health and /load mislead; the experiment changes it while the server runs.
struct BackendStatusOverrides {
    // The endpoints show the state of so long ago.
    Duration lag = Duration::zero();
    std::optional<BackendHealth> health;
    std::optional<std::size_t> runningRequests;
    std::optional<std::size_t> liveFlows;
};

// Keeps the recent states of one server and tells which of them its endpoints show.
class BackendStatus {
public:
    // Samples are to be given in order, a few a second.
    void add(const BackendSample&);

    // The state that the endpoints show: lagging and false as told.
    BackendSample reported(TimePoint now) const;

    BackendStatusOverrides& overrides() { return overrides_; }

private:
    static constexpr std::size_t maxSamples = 4096;

    std::deque<BackendSample> samples_;
    BackendStatusOverrides overrides_;
};

}
