#pragma once

#include "Experiment/Deployment.h"
#include "Experiment/ResultRows.h"

#include <cstdint>
#include <vector>

namespace wisteriadock {

// Measures the control-plane overhead of the balancers: bytes sent and received between balancers and between them and
// the platform, as counted by the fault proxy, and processor time while there is no load.
class ControlPlaneMeter {
public:
    explicit ControlPlaneMeter(Deployment& deployment)
        : deployment_(deployment)
    {
    }

    // Measures processor time for the given duration, during which there must be no load.
    Result<void> measureIdleProcessorUse(Duration);

    // Must be called about once per second while load runs. `stepsBegan` is set once the schedule's first step has
    // begun.
    Result<void> sample(bool stepsBegan);

    void report(ResultRows&) const;
    // Datagrams and chunks that the fault proxy dropped because its buffers were full.
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
    // Bytes per balancer: before the first step, and of all samples.
    Mean beforeSteps_;
    Mean overall_;
    // Highest rate of all samples, in bytes per second and balancer.
    double peak_ = 0;
    // Processor seconds per second and balancer, without load.
    double processorFraction_ = 0;
};

}
