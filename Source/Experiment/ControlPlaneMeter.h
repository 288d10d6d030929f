#pragma once

#include "Experiment/Deployment.h"
#include "Experiment/ResultRows.h"

#include <cstdint>
#include <vector>

namespace wisteriadock {

// Measures what the balancers spend on control: bytes as the fault proxy sees them between balancers and between them
// and the platform, both those sent and those received; and processor time while no caller sends anything.
class ControlPlaneMeter {
public:
    explicit ControlPlaneMeter(Deployment& deployment)
        : deployment_(deployment)
    {
    }

    // Waits for the length of the window, during which nothing else may happen.
    Result<void> measureIdleProcessorUse(Duration);

    // Call it about once a second while load runs; steps begin with the first call that says so.
    Result<void> sample(bool stepsBegan);

    void report(ResultRows&) const;
    // Units that the fault proxy had to drop for lack of room.
    std::uint64_t overflowed() const { return last_.totals.overflowed; }
    std::uint64_t proxyFaults() const { return last_.totals.faultsInjected; }

private:
    struct Reading {
        TimePoint at;
        FaultProxyControl::Totals totals;
        double bytesPerBalancer(std::size_t balancers) const;
    };

    struct Mean {
        double bytes = 0;
        double seconds = 0;
        double rate() const { return seconds > 0 ? bytes / seconds : 0; }
    };

    Result<Reading> read();

    Deployment& deployment_;
    Reading last_;
    bool sampling_ = false;
    Mean steady_;
    Mean whole_;
    double peak_ = 0;
    double processorFraction_ = 0;
};

}
