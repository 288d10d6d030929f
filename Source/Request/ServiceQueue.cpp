#include "Request/ServiceQueue.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Weights of the newest sample are 1 / weight. The mean changes slowly, because its noise is multiplied by the
    // queue length.
    constexpr int meanWeight = 32;
    constexpr int deviationWeight = 16;
    // The expected wait is increased by 1 / waitMargin.
    constexpr int waitMargin = 8;

}

void ServiceQueue::add(WorkId work, TimePoint deadline) { entries_.push_back({ work, deadline }); }

bool ServiceQueue::remove(WorkId work)
{
    return std::erase_if(entries_, [&](const Entry& entry) { return entry.work == work; }) > 0;
}

std::optional<ServiceQueue::Entry> ServiceQueue::takeNext()
{
    if (entries_.empty())
        return std::nullopt;
    const Entry entry = entries_.front();
    entries_.pop_front();
    return entry;
}

std::vector<WorkId> ServiceQueue::removeInfeasible(TimePoint now)
{
    std::vector<WorkId> infeasible;
    std::erase_if(entries_, [&](const Entry& entry) {
        if (now + longDuration() <= entry.deadline)
            return false;
        infeasible.push_back(entry.work);
        return true;
    });
    return infeasible;
}

void ServiceQueue::recordDuration(Duration sample)
{
    // The first samples weigh more, because they replace the initial values.
    samples_ = std::min(samples_ + 1, meanWeight);
    mean_ += (sample - mean_) / samples_;
    const Duration error = sample > mean_ ? sample - mean_ : mean_ - sample;
    deviation_ += (error - deviation_) / std::min(samples_, deviationWeight);
}

Duration ServiceQueue::expectedWait(std::uint32_t slots) const
{
    return mean_ * static_cast<std::int64_t>(entries_.size() + 1) / std::max<std::uint32_t>(slots, 1);
}

bool ServiceQueue::canMeet(TimePoint deadline, std::uint32_t slots, TimePoint now) const
{
    const Duration wait = expectedWait(slots);
    return now + wait + wait / waitMargin + longDuration() <= deadline;
}

}
