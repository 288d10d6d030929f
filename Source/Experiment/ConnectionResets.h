#pragma once

#include "Experiment/Deployment.h"

#include <cstdint>
#include <random>
#include <string>

namespace wisteriadock {

// Under FaultMode::All: resets, every now and then, all connections between the balancers and one backend server, so
// that answers are lost after their work has begun. Times and servers are drawn from the seed.
class ConnectionResets {
public:
    static constexpr std::chrono::seconds faultFreeStart { 3 };

    // The deployment, whose backend servers stand behind the fault proxy, outlives it.
    ConnectionResets(Deployment&, const ExperimentOptions&, TimePoint begin);

    // Does what is due. Call it often.
    Result<void> poll();
    // Lets connections through again.
    Result<void> end();

    std::uint64_t count() const { return count_; }

private:
    Result<void> begin();

    Deployment& deployment_;
    bool enabled_;
    std::mt19937_64 random_;
    TimePoint next_;
    TimePoint last_;
    // The link that is being reset, or empty.
    std::string link_;
    TimePoint endsAt_;
    std::uint64_t count_ = 0;
};

}
