#pragma once

#include "KeyValue/PlatformCall.h"
#include "KeyValue/PlatformTypes.h"

#include <array>
#include <map>
#include <set>
#include <utility>

namespace wisteriadock {

// What the users' platform keeps: keys with revisions, leases, waiting watches and a lagging list of VMs. It stands in
// for the platform in tests and experiments, and does no I/O: its shell passes the time in and hands the answers out.
// Each of the six calls counts once under its kind; a waiting watch counts as one call however long it waits.
class PlatformStore {
public:
    using WatchId = std::uint64_t;

    struct CompareAndSwap {
        std::string key;
        // The revision that the key must have; 0 means that it must not exist.
        std::uint64_t expectedRevision = 0;
        std::string value;
        // The key is deleted when this lease lapses.
        std::optional<std::uint64_t> lease;
    };

    struct EndedWatch {
        WatchId id = 0;
        Result<PlatformEntry> result;
    };

    // An older copy of keys, leases and the revision counter.
    struct Snapshot;

    Result<PlatformEntry> get(const std::string& key, TimePoint now);
    Result<std::uint64_t> compareAndSwap(const CompareAndSwap&, TimePoint now);
    Result<PlatformLease> grantLease(std::chrono::milliseconds timeToLive, TimePoint now);
    Result<PlatformLease> keepAlive(std::uint64_t lease, TimePoint now);
    std::vector<Vm> listVms(TimePoint now);

    // Waits for a revision of the key above the given one. The watch ends with that entry, with NotFound when the time
    // is up or the key is deleted, or with Unavailable when an older copy is restored. All watches that ended, this one
    // perhaps among them, come from takeEndedWatches.
    WatchId watch(const std::string& key, std::uint64_t afterRevision, TimePoint until, TimePoint now);
    void cancelWatch(WatchId);
    void failWatches(const Error&);
    std::vector<EndedWatch> takeEndedWatches() { return std::exchange(endedWatches_, {}); }

    // Lapses leases and ends watches whose time is up. Every call does this first.
    void advance(TimePoint now);
    // When advance has something to do next.
    std::optional<TimePoint> nextDeadline() const;

    // A list set now is seen once the lag has passed.
    void setVms(std::vector<Vm>, TimePoint now);
    // Counts for the lists that are set from now on.
    void setVmLag(Duration lag) { vmLag_ = lag; }

    Snapshot takeSnapshot(TimePoint now);
    // Revisions go back with the copy, so that numbers already seen come again for other values. Leases go on with the
    // time that they had remaining; numbers of leases never come again. Waiting watches end with Unavailable.
    void restore(const Snapshot&, TimePoint now);

    std::uint64_t revision() const { return revision_; }
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
    // Leases and watches share one row of numbers.
    std::uint64_t lastId_ = 0;
    Entries entries_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<WatchId, Watch> watches_;
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
    std::vector<EndedWatch> endedWatches_;
    Duration vmLag_ { 0 };
    // The oldest is the one seen now.
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
