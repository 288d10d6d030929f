#include "StandIns/BackendRequestTracker.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto runOutcomeNames = makeNameTable<RunOutcome>({
        { RunOutcome::Running, "running" },
        { RunOutcome::Completed, "completed" },
        { RunOutcome::Cancelled, "cancelled" },
        { RunOutcome::DeadlineExceeded, "deadline_exceeded" },
    });

}

std::string_view nameOf(RunOutcome outcome) { return runOutcomeNames.name(outcome); }

BackendRequestTracker::BackendRequestTracker(std::size_t maxRecordedKeys)
    : maxRecordedKeys_(maxRecordedKeys)
{
}

BackendRequestTracker::Admission BackendRequestTracker::admit(
    std::string_view key, Duration work, Duration deadline, TimePoint now)
{
    if (behaviour_.draining || behaviour_.shedding || running_.size() >= behaviour_.slots) {
        ++counts_.shed;
        return {};
    }
    if (behaviour_.coldRequests > 0) {
        --behaviour_.coldRequests;
        work = std::chrono::duration_cast<Duration>(work * behaviour_.coldFactor);
    }
    const bool inTime = deadline == Duration::zero() || work <= deadline;

    ++counts_.runs;
    const RunId run = nextRun_++;
    running_.emplace(run, Run { std::string(key), recordRun(key, now) });
    return {
        .shed = false,
        .run = run,
        .endsAt = now + (inTime ? work : deadline),
        .outcome = inTime ? RunOutcome::Completed : RunOutcome::DeadlineExceeded,
    };
}

void BackendRequestTracker::end(RunId id, RunOutcome outcome, TimePoint now)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    switch (outcome) {
    case RunOutcome::Running:
        break;
    case RunOutcome::Completed:
        ++counts_.completed;
        break;
    case RunOutcome::Cancelled:
        ++counts_.cancelled;
        break;
    case RunOutcome::DeadlineExceeded:
        ++counts_.deadlineExceeded;
        break;
    }
    if (found->second.record != noRecord) {
        RunRecord& record = keys_.find(found->second.key)->second.records[found->second.record];
        record.endedAt = now;
        record.outcome = outcome;
    }
    running_.erase(found);
}

std::size_t BackendRequestTracker::recordRun(std::string_view key, TimePoint now)
{
    const std::string name(key);
    auto known = keys_.find(name);
    if (known == keys_.end()) {
        if (keys_.size() >= maxRecordedKeys_) {
            ++counts_.unrecordedRuns;
            return noRecord;
        }
        known = keys_.emplace(name, KeyRecord {}).first;
    }
    KeyRecord& keyRecord = known->second;
    ++keyRecord.runs;
    if (keyRecord.records.size() >= maxRecordsPerKey)
        return noRecord;
    keyRecord.records.push_back({ .startedAt = now, .endedAt = now });
    return keyRecord.records.size() - 1;
}

}
