#include "Balancer/StopSequence.h"

namespace wisteriadock {

StopSequence::StopSequence(StopTimes times)
    : times_(times)
{
}

void StopSequence::request(TimePoint now)
{
    if (phase_ == Phase::Running)
        enter(Phase::AwaitingLeave, now, times_.leaveTimeout);
    else
        phase_ = Phase::Exiting;
}

StopStep StopSequence::tick(const StopConditions& conditions, TimePoint now)
{
    const bool hasTimedOut = now >= limit_;
    switch (phase_) {
    case Phase::Running:
        return StopStep::None;
    case Phase::AwaitingLeave:
        if (!conditions.mayLeave && !hasTimedOut)
            return StopStep::None;
        enter(Phase::Draining, now, times_.drain);
        return StopStep::Leave;
    case Phase::Draining:
        if (!hasTimedOut)
            return StopStep::None;
        enter(Phase::AwaitingClaims, now, times_.claimTimeout);
        [[fallthrough]];
    case Phase::AwaitingClaims:
        if (!conditions.areClaimsReleased && now < limit_)
            return StopStep::None;
        enter(Phase::AwaitingRequests, now, times_.requestTimeout);
        return StopStep::DrainRequests;
    case Phase::AwaitingRequests:
        if (!conditions.areRequestsDrained && !hasTimedOut)
            return StopStep::None;
        phase_ = Phase::Exiting;
        return StopStep::Exit;
    case Phase::Exiting:
        return StopStep::Exit;
    }
    return StopStep::Exit;
}

void StopSequence::enter(Phase phase, TimePoint now, std::chrono::milliseconds limit)
{
    phase_ = phase;
    limit_ = now + limit;
}

}
