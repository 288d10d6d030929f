#include "Forward/RequestLoadMeter.h"

#include "Forward/ServerDirectory.h"

#include <algorithm>

namespace wisteriadock {

void addLoad(RequestLoad& sum, const RequestLoad& load)
{
    const float served = sum.served + load.served;
    if (served > 0) {
        const double share = static_cast<double>(load.served / served);
        sum.answerTime += std::chrono::duration_cast<Duration>((load.answerTime - sum.answerTime) * share);
    }
    sum.inProgress += load.inProgress;
    sum.begun += load.begun;
    sum.served = served;
    sum.rejected += load.rejected;
    sum.unanswered += load.unanswered;
}

RequestLoad scaledLoad(const RequestLoad& load, float factor)
{
    return { load.inProgress * factor, load.begun * factor, load.served * factor, load.rejected * factor,
        load.unanswered * factor, load.answerTime };
}

RequestLoadMeter::Cell RequestLoadMeter::cellOf(const ServerGroup& group, std::uint32_t priority)
{
    const auto [entry, isNew] = cells_.try_emplace({ &group, priority }, static_cast<Cell>(rows_.size()));
    if (isNew) {
        rows_.emplace_back();
        rows_.back().group = &group;
        rows_.back().priority = priority;
    }
    return entry->second;
}

void RequestLoadMeter::begin(Cell cell, TimePoint now)
{
    resume(cell, now);
    ++rows_[cell].begun;
}

void RequestLoadMeter::resume(Cell cell, TimePoint now)
{
    Row& row = activate(cell);
    advance(row, now);
    ++row.inProgress;
}

void RequestLoadMeter::end(Cell cell, TimePoint now)
{
    Row& row = rows_[cell];
    advance(row, now);
    row.inProgress -= std::min(1U, row.inProgress);
}

void RequestLoadMeter::discount(Cell cell, Duration duration) { activate(cell).requestTime -= duration; }

void RequestLoadMeter::count(Cell cell, RequestOutcome outcome, Duration answerTime)
{
    Row& row = activate(cell);
    if (outcome == RequestOutcome::Served) {
        ++row.served;
        row.answerTimes += answerTime;
    } else {
        ++(outcome == RequestOutcome::Rejected ? row.rejected : row.unanswered);
    }
}

std::vector<ObservedLoad> RequestLoadMeter::take(TimePoint now)
{
    const Duration interval = now - intervalBegan_;
    const bool isFirst = !std::exchange(hasInterval_, true) || interval <= Duration::zero();
    intervalBegan_ = now;
    std::vector<ObservedLoad> loads;
    std::erase_if(active_, [&](Cell cell) {
        Row& row = rows_[cell];
        advance(row, now);
        if (!isFirst)
            loads.push_back(loadOf(row, interval));
        row.begun = row.served = row.rejected = row.unanswered = 0;
        row.answerTimes = {};
        row.requestTime = {};
        row.isActive = row.inProgress > 0;
        return !row.isActive;
    });
    return loads;
}

ObservedLoad RequestLoadMeter::loadOf(const Row& row, Duration interval)
{
    const std::chrono::duration<double> seconds = interval;
    const auto perSecond = [&](std::uint32_t count) { return static_cast<float>(count / seconds.count()); };
    RequestLoad load;
    // A discount may concern a request that was in progress in the interval before.
    load.inProgress = std::max(0.0F, static_cast<float>(row.requestTime / seconds));
    load.begun = perSecond(row.begun);
    load.served = perSecond(row.served);
    load.rejected = perSecond(row.rejected);
    load.unanswered = perSecond(row.unanswered);
    if (row.served > 0)
        load.answerTime = row.answerTimes / row.served;
    return { row.group->service, row.group->availabilityZone, row.priority, load };
}

void RequestLoadMeter::advance(Row& row, TimePoint now)
{
    if (row.inProgress > 0 && now > row.changedAt)
        row.requestTime += (now - row.changedAt) * static_cast<double>(row.inProgress);
    row.changedAt = std::max(row.changedAt, now);
}

RequestLoadMeter::Row& RequestLoadMeter::activate(Cell cell)
{
    Row& row = rows_[cell];
    if (!std::exchange(row.isActive, true))
        active_.push_back(cell);
    return row;
}

}
