#include "Experiment/ControlPlaneMeter.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    double secondsBetween(TimePoint first, TimePoint second)
    {
        return std::chrono::duration<double>(second - first).count();
    }

}

// Bytes between balancers count twice, for the sender and the receiver.
double ControlPlaneMeter::Reading::bytesPerBalancer(std::size_t balancers) const
{
    const auto bytes = static_cast<double>(2 * totals.balancerBytes + totals.platformBytes);
    return bytes / static_cast<double>(std::max<std::size_t>(1, balancers));
}

Result<ControlPlaneMeter::Reading> ControlPlaneMeter::read()
{
    BOOST_OUTCOME_TRY(totals, deployment_.proxy().totals());
    return Reading { Clock::now(), totals };
}

Result<void> ControlPlaneMeter::measureIdleProcessorUse(Duration window)
{
    const double usedBefore = deployment_.balancers().processorSeconds();
    const TimePoint begin = Clock::now();
    BOOST_OUTCOME_TRYV(deployment_.loop().runUntil(begin + window));
    const double used = deployment_.balancers().processorSeconds() - usedBefore;
    const auto balancers = static_cast<double>(deployment_.balancers().runningCount());
    processorFraction_ = used / secondsBetween(begin, Clock::now()) / balancers;
    return boost::outcome_v2::success();
}

Result<void> ControlPlaneMeter::sample(bool stepsBegan)
{
    BOOST_OUTCOME_TRY(now, read());
    const std::size_t balancers = deployment_.balancers().runningCount();
    if (sampling_) {
        const Mean step { now.bytesPerBalancer(balancers) - last_.bytesPerBalancer(balancers),
            secondsBetween(last_.at, now.at) };
        for (Mean* mean : { &overall_, stepsBegan ? nullptr : &beforeSteps_ }) {
            if (!mean)
                continue;
            mean->bytes += step.bytes;
            mean->seconds += step.seconds;
        }
        peak_ = std::max(peak_, step.rate());
    }
    sampling_ = true;
    last_ = now;
    return boost::outcome_v2::success();
}

void ControlPlaneMeter::report(ResultRows& rows) const
{
    rows.set("control_bytes_per_second_per_balancer", beforeSteps_.rate());
    rows.set("control_bytes_mean_per_second_per_balancer", overall_.rate());
    rows.set("control_bytes_peak_per_second_per_balancer", peak_);
    rows.set("control_cpu_fraction_per_balancer", processorFraction_);
}

}
