#include "StandIns/Platform/PlatformStore.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    Error keyNotFound(std::string_view key)
    {
        return { ErrorCode::NotFound, fmt::format("key '{}' does not exist", key) };
    }

    Error leaseNotFound(std::uint64_t lease)
    {
        return { ErrorCode::NotFound, fmt::format("lease {} does not exist or has expired", lease) };
    }

    Error noNewerRevision(std::string_view key, std::uint64_t afterRevision)
    {
        return { ErrorCode::NotFound, fmt::format("key '{}' has no revision above {}", key, afterRevision) };
    }

}

Result<PlatformEntry> PlatformStore::get(const std::string& key, TimePoint now)
{
    count(PlatformCall::Get);
    advance(now);
    const auto entry = entries_.find(key);
    if (entry == entries_.end())
        return keyNotFound(key);
    return PlatformEntry { key, entry->second.value, entry->second.revision };
}

Result<std::uint64_t> PlatformStore::compareAndSwap(const CompareAndSwap& write, TimePoint now)
{
    count(PlatformCall::CompareAndSwap);
    advance(now);
    if (write.value.size() > platformValueLimit) {
        return Error { ErrorCode::ResourceExhausted,
            fmt::format("value of key '{}' has {} bytes; expected at most {}", write.key, write.value.size(),
                platformValueLimit) };
    }
    if (write.lease && !leases_.contains(*write.lease))
        return leaseNotFound(*write.lease);
    const std::uint64_t current = revisionOf(write.key);
    if (current != write.expectedRevision)
        return conflictError(write.key, write.expectedRevision, current);
    entries_.insert_or_assign(write.key, StoredValue { write.value, ++revision_, write.lease });
    completeWatches(write.key);
    return revision_;
}

Result<PlatformLease> PlatformStore::grantLease(std::chrono::milliseconds timeToLive, TimePoint now)
{
    count(PlatformCall::GrantLease);
    advance(now);
    if (timeToLive <= std::chrono::milliseconds(0)) {
        return Error { ErrorCode::InvalidArgument,
            fmt::format("time to live of {} ms; expected more than 0", timeToLive.count()) };
    }
    const std::uint64_t id = ++lastId_;
    leases_.emplace(id, Lease { timeToLive, now + timeToLive });
    setDeadline(id, now + timeToLive);
    return PlatformLease { id, timeToLive };
}

Result<PlatformLease> PlatformStore::keepAlive(std::uint64_t id, TimePoint now)
{
    count(PlatformCall::KeepAlive);
    advance(now);
    const auto lease = leases_.find(id);
    if (lease == leases_.end())
        return leaseNotFound(id);
    deadlines_.erase({ lease->second.expiry, id });
    lease->second.expiry = now + lease->second.timeToLive;
    setDeadline(id, lease->second.expiry);
    return PlatformLease { id, lease->second.timeToLive };
}

std::vector<Vm> PlatformStore::listVms(TimePoint now)
{
    count(PlatformCall::ListVms);
    advance(now);
    while (vmLists_.size() > 1 && vmLists_[1].visibleFrom <= now)
        vmLists_.erase(vmLists_.begin());
    if (vmLists_.empty() || vmLists_.front().visibleFrom > now)
        return {};
    return vmLists_.front().vms;
}

PlatformStore::WatchId PlatformStore::watch(
    const std::string& key, std::uint64_t afterRevision, TimePoint until, TimePoint now)
{
    count(PlatformCall::Watch);
    advance(now);
    const WatchId id = ++lastId_;
    watches_.emplace(id, Watch { key, afterRevision, until });
    setDeadline(id, until);
    if (revisionOf(key) > afterRevision)
        completeWatches(key);
    else
        advance(now);
    return id;
}

void PlatformStore::cancelWatch(WatchId id)
{
    const auto watch = watches_.find(id);
    if (watch == watches_.end())
        return;
    deadlines_.erase({ watch->second.until, id });
    watches_.erase(watch);
}

void PlatformStore::failWatches(const Error& error)
{
    while (!watches_.empty())
        endWatch(watches_.begin()->first, error);
}

void PlatformStore::advance(TimePoint now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const std::uint64_t id = deadlines_.begin()->second;
        const auto watch = watches_.find(id);
        if (watch == watches_.end())
            expireLease(id);
        else
            endWatch(id, noNewerRevision(watch->second.key, watch->second.afterRevision));
    }
}

std::optional<TimePoint> PlatformStore::nextDeadline() const
{
    if (deadlines_.empty())
        return std::nullopt;
    return deadlines_.begin()->first;
}

void PlatformStore::setVms(std::vector<Vm> vms, TimePoint now)
{
    // After a reduction of the lag, a newer list may become visible before an older one, which is then dropped.
    const TimePoint visibleFrom = now + vmLag_;
    std::erase_if(vmLists_, [&](const VmList& list) { return list.visibleFrom > visibleFrom; });
    vmLists_.push_back({ visibleFrom, std::move(vms) });
}

PlatformStore::Snapshot PlatformStore::takeSnapshot(TimePoint now)
{
    advance(now);
    Snapshot snapshot { revision_, entries_, {} };
    for (const auto& [id, lease] : leases_)
        snapshot.leases.emplace(id, Snapshot::LeaseCopy { lease.timeToLive, lease.expiry - now });
    return snapshot;
}

void PlatformStore::restore(const Snapshot& snapshot, TimePoint now)
{
    failWatches({ ErrorCode::Unavailable, "an older snapshot of the store is being restored" });
    deadlines_.clear();
    leases_.clear();
    revision_ = snapshot.revision;
    ++era_;
    entries_ = snapshot.entries;
    for (const auto& [id, copy] : snapshot.leases) {
        leases_.emplace(id, Lease { copy.timeToLive, now + copy.remaining });
        setDeadline(id, now + copy.remaining);
    }
}

std::uint64_t PlatformStore::revisionOf(const std::string& key) const
{
    const auto entry = entries_.find(key);
    return entry == entries_.end() ? 0 : entry->second.revision;
}

// Ends the watches of a key that wait for a revision below the current one, or all of them if the key was deleted.
void PlatformStore::completeWatches(const std::string& key)
{
    const auto entry = entries_.find(key);
    std::vector<WatchId> completed;
    for (const auto& [id, watch] : watches_) {
        if (watch.key == key && (entry == entries_.end() || entry->second.revision > watch.afterRevision))
            completed.push_back(id);
    }
    for (const WatchId id : completed) {
        if (entry == entries_.end())
            endWatch(id, keyNotFound(key));
        else
            endWatch(id, PlatformEntry { key, entry->second.value, entry->second.revision });
    }
}

void PlatformStore::endWatch(WatchId id, Result<PlatformEntry> result)
{
    cancelWatch(id);
    endedWatches_.push_back({ id, std::move(result) });
}

void PlatformStore::expireLease(std::uint64_t id)
{
    const auto lease = leases_.find(id);
    deadlines_.erase({ lease->second.expiry, id });
    leases_.erase(lease);
    std::vector<std::string> deleted;
    for (const auto& [key, stored] : entries_) {
        if (stored.lease == id)
            deleted.push_back(key);
    }
    for (const std::string& key : deleted) {
        entries_.erase(key);
        ++revision_;
        completeWatches(key);
    }
}

}
