#pragma once

#include "KeyValue/PlatformCall.h"
#include "KeyValue/PlatformTypes.h"

#include <array>
#include <map>
#include <set>
#include <utility>

namespace wisteriadock {

// The state of the simulated platform: keys with revisions, leases, waiting watches and a list of VMs that is updated
// after a lag. Does no I/O: its callers, PlatformStandIn and FakePlatform, pass the time in and deliver the results.
// Each of the six calls is counted by kind; a watch is counted once, however long it waits.
class PlatformStore {
public:
    using WatchId = std::uint64_t;

    struct CompareAndSwap {
        std::string key;
        // The revision that the key must have; 0 requires that the key does not exist.
        std::uint64_t expectedRevision = 0;
        std::string value;
        // The key is deleted when this lease expires.
        std::optional<std::uint64_t> lease;
    };

    struct EndedWatch {
        WatchId id = 0;
        Result<PlatformEntry> result;
    };

    // A copy of the keys, the leases and the revision counter.
    struct Snapshot;

    Result<PlatformEntry> get(const std::string& key, TimePoint now);
    Result<std::uint64_t> compareAndSwap(const CompareAndSwap&, TimePoint now);
    Result<PlatformLease> grantLease(std::chrono::milliseconds timeToLive, TimePoint now);
    Result<PlatformLease> keepAlive(std::uint64_t lease, TimePoint now);
    std::vector<Vm> listVms(TimePoint now);

    // Waits for a revision of the key above the given one. The watch ends with that entry, with NotFound when `until`
    // is reached or the key is deleted, or with Unavailable when a snapshot is restored. Ended watches, including those
    // that end at once, are returned by takeEndedWatches.
    WatchId watch(const std::string& key, std::uint64_t afterRevision, TimePoint until, TimePoint now);
    void cancelWatch(WatchId);
    void failWatches(const Error&);
    std::vector<EndedWatch> takeEndedWatches() { return std::exchange(endedWatches_, {}); }

    // Expires leases and ends watches whose deadline has passed. Every call does this first.
    void advance(TimePoint now);
    // The time of the next expiry of a lease or a watch.
    std::optional<TimePoint> nextDeadline() const;

    // The list becomes visible to listVms after the lag.
    void setVms(std::vector<Vm>, TimePoint now);
    // Applies to lists that are set after this call.
    void setVmLag(Duration lag) { vmLag_ = lag; }

    Snapshot takeSnapshot(TimePoint now);
    // The revision counter goes back to that of the snapshot, so that the same revision can later have another value.
    // Leases keep the time that remained at the snapshot; ids of leases are never reused. Waiting watches end with
    // Unavailable.
    void restore(const Snapshot&, TimePoint now);

    std::uint64_t revision() const { return revision_; }
    // The number of restores so far.
    std::uint64_t era() const { return era_; }
    std::uint64_t callCount(PlatformCall call) const { return calls_.at(static_cast<std::size_t>(call)); }
    std::size_t waitingWatches() const { return watches_.size(); }

private:
    struct StoredValue {
        std::string value;
        std::uint64_t revision = 0;
        std::optional<std::uint64_t> lease;
    };
    using Entries = std::map<std::string, StoredValue>;

    struct Lease {
        std::chrono::milliseconds timeToLive { 0 };
        TimePoint expiry;
    };

    struct Watch {
        std::string key;
        std::uint64_t afterRevision = 0;
        TimePoint until;
    };

    struct VmList {
        TimePoint visibleFrom;
        std::vector<Vm> vms;
    };

    void count(PlatformCall call) { ++calls_.at(static_cast<std::size_t>(call)); }
    std::uint64_t revisionOf(const std::string& key) const;
    void completeWatches(const std::string& key);
    void endWatch(WatchId, Result<PlatformEntry>);
    void expireLease(std::uint64_t lease);
    void setDeadline(std::uint64_t id, TimePoint deadline) { deadlines_.emplace(deadline, id); }

    std::uint64_t revision_ = 0;
    std::uint64_t era_ = 0;
    // Leases and watches share one sequence of ids.
    std::uint64_t lastId_ = 0;
    Entries entries_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<WatchId, Watch> watches_;
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
    std::vector<EndedWatch> endedWatches_;
    Duration vmLag_ { 0 };
    // Ordered by visibleFrom. listVms drops lists that a newer visible list replaces.
    std::vector<VmList> vmLists_;
    std::array<std::uint64_t, platformCallKinds> calls_ {};
};

struct PlatformStore::Snapshot {
    struct LeaseCopy {
        std::chrono::milliseconds timeToLive { 0 };
        Duration remaining { 0 };
    };

    std::uint64_t revision = 0;
    Entries entries;
    std::map<std::uint64_t, LeaseCopy> leases;
};

}
