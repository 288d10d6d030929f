#pragma once

#include "Core/Clock.h"
#include "News/StoreDelta.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The keys of the platform's service that a balancer cares about, each at its newest revision, whoever told of it.
// Revisions come from one counter of the service, so news from the store and from any other balancer can be merged in
// any order and as often as it comes, and nothing ever goes back.
//
// Of a large value the replica also keeps the last patches that led to it, so that a change of it costs others about
// what changed, and not the whole value.
class StoreReplica {
public:
    // What became new by an update; each key once, large values unpacked.
    using Updates = std::vector<StoreUpdate>;

    // What the receiver of a delta can make use of.
    enum class Encoding {
        Full, // Large values as they are.
        Patched, // Patches of large values that it holds at an earlier revision.
    };

    // Merges what the sender knows. Items count also when something before them is missing; completeTo() then stays.
    Updates merge(const StoreDelta&, TimePoint now);
    // The same for news of the store itself, which always holds whole values: makes the patches for others.
    Updates mergeFromStore(const StoreDelta&, TimePoint now);
    // Whether the last merge had a patch for a value that this replica does not hold.
    bool lacksPatchBase() const { return lacksPatchBase_; }

    // Everything after a revision; the whole replica when removals of that time are forgotten already.
    StoreDelta deltaSince(std::uint64_t revision, TimePoint now, Encoding = Encoding::Full) const;
    // The patch that made the key's value what it is at this revision; null when there is none.
    const ValuePatch* patchTo(const std::string& key, std::uint64_t revision) const;
    // The replica has all changes up to this revision; 0 before the first listing.
    std::uint64_t completeTo() const { return completeTo_; }

    // Forgets old removals.
    void tick(TimePoint now);

private:
    struct Row {
        // A value that came packed is held unpacked.
        StoreUpdate item;
        // When a balancer had it from the store, as far as this one knows.
        TimePoint at;
        // The patches that led to the value, one behind the other; the last one to its revision.
        std::vector<ValuePatch> patches {};
        // The value travels packed. Packing it waits until somebody asks for it whole.
        bool isSentCompressed = false;
        mutable StoreUpdate compressed {};
    };
    enum class PatchCreation { No, Yes };

    Updates mergeAll(const StoreDelta&, TimePoint now, PatchCreation);
    void removeMissing(const StoreDelta&, TimePoint now, Updates&);
    bool mergeItem(const StoreUpdate&, TimePoint now, PatchCreation);
    bool mergePatch(const ValuePatch&, TimePoint now, Updates&);
    static void addPatch(Row&, ValuePatch);
    static const StoreUpdate& updateToSend(const Row&);
    static bool addPatches(const Row&, std::uint64_t revision, TimePoint now, StoreDelta&);

    absl::flat_hash_map<std::string, Row> rows_;
    std::uint64_t completeTo_ = 0;
    // The highest revision of a removal that was forgotten.
    std::uint64_t forgottenTo_ = 0;
    bool lacksPatchBase_ = false;
};

}
