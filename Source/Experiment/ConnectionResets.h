#pragma once

#include "Experiment/Deployment.h"

#include <cstdint>
#include <random>
#include <string>

namespace wisteriadock {

// With FaultMode::All, resets all connections between the balancers and one backend server at random intervals, so that
// responses are lost after the server started the work. Times and servers depend on the seed only.
class ConnectionResets {
public:
    static constexpr std::chrono::seconds faultFreeStart { 3 };

    // The deployment must outlive this object and must have its backend servers behind the fault proxy.
    ConnectionResets(Deployment&, const ExperimentOptions&, TimePoint begin);

    // Begins and ends resets that are due. Must be called frequently.
    Result<void> poll();
    // Allows connections again.
    Result<void> end();

    std::uint64_t count() const { return count_; }

private:
    Result<void> begin();

    Deployment& deployment_;
    bool enabled_;
    std::mt19937_64 random_;
    TimePoint next_;
    TimePoint last_;
    // The link whose connections are being reset; empty if none.
    std::string link_;
    TimePoint endsAt_;
    std::uint64_t count_ = 0;
};

}
