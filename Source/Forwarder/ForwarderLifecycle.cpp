#include "Forwarder/ForwarderLifecycle.h"

#include <algorithm>

namespace wisteriadock {

bool ForwarderLifecycle::noteSynced()
{
    const bool isNew = !hasSynced_;
    hasSynced_ = true;
    return isNew;
}

bool ForwarderLifecycle::stop(TimePoint now)
{
    if (stoppingSince_)
        return false;
    stoppingSince_ = now;
    return true;
}

bool ForwarderLifecycle::isStopped(TimePoint now) const
{
    if (!stoppingSince_)
        return false;
    if (now - *stoppingSince_ >= settings_.grace - settings_.margin)
        return true;
    return now - std::max(lastPacket_, *stoppingSince_) >= settings_.quietPeriod;
}

}
