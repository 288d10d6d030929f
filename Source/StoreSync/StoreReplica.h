#pragma once

#include "Core/Clock.h"
#include "StoreSync/StoreDelta.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// A balancer's replica of the platform's key-value store: the newest known state of each key, whether it came from the
// store or from another balancer. ReplicaSync owns it. The store counts revisions over all keys, so deltas can be
// merged in any order and repeatedly, and an older state never replaces a newer one. Revisions are those of
// StoreRevision.h.
//
// A store that was restored from an older copy begins a new era. The replica enters it with the first complete delta of
// that era. What the restored store holds unchanged, or gets again unchanged from those who wrote it, is carried over:
// it keeps its revision of before, and neither counts as a change nor is sent to balancers that held it too.
//
// Of a large value the replica also keeps the last patches that led to it, so that a change of such a value costs other
// balancers about the size of the change.
class StoreReplica {
public:
    // The updates of a merge that changed values, one for each key, with large values decompressed.
    using Updates = std::vector<StoreUpdate>;

    // How deltaSince() encodes large values that changed.
    enum class Encoding {
        Full, // The whole value.
        Patched, // Patches to the value that the receiver holds, where the replica still has them.
    };

    // Why a delta was not merged.
    enum class Refusal {
        OlderSnapshot, // The replica is complete to a later revision.
        EarlierEra, // The replica has entered a later era.
        OtherContent, // The delta leads into an era from another content than the replica's.
    };

    // Merges a delta of another balancer. After a gap its updates are merged as well, but completeTo() stays until the
    // gap is closed.
    Updates merge(const StoreDelta&, TimePoint now);
    // Merges a delta of the store, which holds whole values, and makes patches of large values for other balancers.
    Updates mergeFromStore(const StoreDelta&, TimePoint now);
    // Why the last delta was not merged; none if it was.
    const std::optional<Refusal>& refusal() const { return refusal_; }
    // Whether the last merge entered an era, coming from an earlier one.
    bool hasEnteredEra() const { return hasEnteredEra_; }
    // Whether another balancer has to send the whole store, since its content of before the era was another.
    bool needsSnapshot() const { return needsSnapshot_; }
    // Whether the last merge had a patch whose base value this replica does not hold.
    bool lacksPatchBase() const { return lacksPatchBase_; }

    // All changes after the revision. A snapshot when the revision is 0, or so old that removals after it have been
    // dropped, or of an earlier era when most of the content is of this one.
    StoreDelta deltaSince(std::uint64_t revision, TimePoint now, Encoding = Encoding::Full) const;
    // The present updates that the filter accepts. The receiver merges them, but its replica stays as incomplete as it
    // is.
    StoreDelta excerpt(const std::function<bool(const StoreUpdate&)>& filter, TimePoint now) const;
    // The patch that results in the key's value at this revision; null when there is none.
    const ValuePatch* patchTo(const std::string& key, std::uint64_t revision) const;
    // The replica has all changes up to this revision; 0 before the first snapshot.
    std::uint64_t completeTo() const { return completeTo_; }
    // Whether the replica held the same value before the update's era began.
    bool isCarriedOver(const StoreUpdate&) const;
    // Equal for replicas with the same keys and values.
    std::uint64_t digest() const { return digest_; }
    // Number of keys, removed ones included.
    std::size_t size() const { return rows_.size(); }

    // Drops old removals.
    void tick(TimePoint now);

private:
    struct Row {
        // Holds the value decompressed.
        StoreUpdate item;
        // When the first balancer read the update from the store, as far as this one knows.
        TimePoint readAt;
        // Consecutive patches; the last one results in the value.
        std::vector<ValuePatch> patches {};
        // The value is sent compressed. It is compressed on the first request for the whole value.
        bool isSentCompressed = false;
        mutable StoreUpdate compressed {};
    };
    enum class PatchCreation { No, Yes };

    Updates mergeAll(const StoreDelta&, TimePoint now, PatchCreation);
    std::optional<Refusal> refusalOf(const StoreDelta&) const;
    std::uint64_t digestAfter(const StoreDelta&) const;
    std::uint64_t deltaRevisionOf(const Row&) const;
    bool isOfThisEra(const Row& row) const { return eraOf(row.item.revision) >= eraOf(completeTo_); }
    bool isMostlyOfThisEra() const;
    void addToDelta(const Row&, TimePoint now, StoreDelta&) const;
    void extendCompleteness(std::uint64_t from, std::uint64_t to);
    void removeMissing(const StoreDelta&, TimePoint now, Updates&);
    bool mergeItem(const StoreUpdate&, TimePoint now, PatchCreation);
    bool mergePatch(const ValuePatch&, TimePoint now, Updates&);
    static void addPatch(Row&, ValuePatch);
    static const StoreUpdate& updateToSend(const Row&);
    static bool addPatches(const Row&, std::uint64_t revision, TimePoint now, StoreDelta&);

    absl::flat_hash_map<std::string, Row> rows_;
    std::uint64_t completeTo_ = 0;
    // The revision at which the replica entered the era of completeTo_; 0 in the first one that it has seen.
    std::uint64_t eraEntry_ = 0;
    std::uint64_t digest_ = 0;
    // Ranges of revisions beyond a gap of which the replica has all changes.
    std::set<std::pair<std::uint64_t, std::uint64_t>> aheadRanges_;
    // The highest revision of a removal that was dropped.
    std::uint64_t droppedRemovalsTo_ = 0;
    TimePoint nextRemovalSweep_ = TimePoint::min();
    bool lacksPatchBase_ = false;
    std::optional<Refusal> refusal_;
    bool hasEnteredEra_ = false;
    bool needsSnapshot_ = false;
};

std::string_view nameOf(StoreReplica::Refusal);

}
