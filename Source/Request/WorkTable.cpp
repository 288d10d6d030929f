#include "Request/WorkTable.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

Work makeWork(const KeyedAttempt& attempt)
{
    Work work;
    work.key = attempt.key;
    work.fingerprint = attempt.fingerprint;
    work.service = attempt.service;
    work.deadline = attempt.deadline;
    work.waiters = { { attempt.id, attempt.deadline } };
    return work;
}

Work makeWork(const UnkeyedAttempt& attempt)
{
    Work work;
    work.service = attempt.service;
    work.deadline = attempt.deadline;
    work.waiters = { { attempt.id, attempt.deadline } };
    return work;
}

Work& WorkTable::add(Work work)
{
    work.id = ++last_;
    if (work.key)
        byKey_[work.key->digest] = work.id;
    for (const WorkWaiter& waiter : work.waiters)
        byAttempt_[waiter.id] = work.id;
    return works_.emplace_hint(works_.end(), work.id, std::move(work))->second;
}

void WorkTable::erase(WorkId id)
{
    const auto found = works_.find(id);
    if (found == works_.end())
        return;
    const Work& work = found->second;
    if (work.key)
        byKey_.erase(work.key->digest);
    for (const WorkWaiter& waiter : work.waiters)
        byAttempt_.erase(waiter.id);
    byClaim_.erase(work.sequence);
    works_.erase(found);
}

Work* WorkTable::find(WorkId id)
{
    const auto found = works_.find(id);
    return found == works_.end() ? nullptr : &found->second;
}

Work* WorkTable::findByKey(const KeyDigest& digest)
{
    const auto found = byKey_.find(digest);
    return found == byKey_.end() ? nullptr : find(found->second);
}

const Work* WorkTable::findByKey(const KeyDigest& digest) const
{
    const auto found = byKey_.find(digest);
    return found == byKey_.end() ? nullptr : &works_.at(found->second);
}

Work* WorkTable::findByAttempt(AttemptId id)
{
    const auto found = byAttempt_.find(id);
    return found == byAttempt_.end() ? nullptr : find(found->second);
}

Work* WorkTable::findByClaim(std::uint64_t sequence)
{
    const auto found = byClaim_.find(sequence);
    return found == byClaim_.end() ? nullptr : find(found->second);
}

void WorkTable::addWaiter(Work& work, const WorkWaiter& waiter)
{
    work.waiters.push_back(waiter);
    byAttempt_[waiter.id] = work.id;
}

void WorkTable::removeWaiter(Work& work, AttemptId id)
{
    std::erase_if(work.waiters, [&](const WorkWaiter& waiter) { return waiter.id == id; });
    byAttempt_.erase(id);
}

void WorkTable::setClaim(Work& work, std::uint64_t sequence)
{
    byClaim_.erase(work.sequence);
    work.sequence = sequence;
    byClaim_[sequence] = work.id;
}

std::vector<WorkId> WorkTable::ids() const
{
    std::vector<WorkId> ids;
    ids.reserve(works_.size());
    for (const auto& entry : works_)
        ids.push_back(entry.first);
    return ids;
}

}
