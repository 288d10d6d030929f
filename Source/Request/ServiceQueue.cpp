#include "Request/ServiceQueue.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Weights of the newest sample, as in TCP's estimate of the round trip (RFC 6298).
    constexpr int meanWeight = 8;
    constexpr int deviationWeight = 4;

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

std::vector<WorkId> ServiceQueue::removeHopeless(TimePoint now)
{
    std::vector<WorkId> hopeless;
    std::erase_if(entries_, [&](const Entry& entry) {
        if (now + usualDuration() <= entry.deadline)
            return false;
        hopeless.push_back(entry.work);
        return true;
    });
    return hopeless;
}

void ServiceQueue::learnDuration(Duration sample)
{
    const Duration error = sample > mean_ ? sample - mean_ : mean_ - sample;
    deviation_ += (error - deviation_) / deviationWeight;
    mean_ += (sample - mean_) / meanWeight;
}

Duration ServiceQueue::expectedWait(std::uint32_t slots) const
{
    return mean_ * static_cast<std::int64_t>(entries_.size() + 1) / std::max<std::uint32_t>(slots, 1);
}

bool ServiceQueue::canMake(TimePoint deadline, std::uint32_t slots, TimePoint now) const
{
    return now + expectedWait(slots) + longDuration() <= deadline;
}

}
