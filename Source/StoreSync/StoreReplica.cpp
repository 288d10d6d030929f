#include "StoreSync/StoreReplica.h"

#include "Core/Hash.h"
#include "Core/NameTable.h"
#include "StoreSync/CompressedValue.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr auto refusalNames = makeNameTable<StoreReplica::Refusal>({
        { StoreReplica::Refusal::OlderSnapshot, "older_snapshot" },
        { StoreReplica::Refusal::EarlierEra, "earlier_era" },
        { StoreReplica::Refusal::OtherContent, "other_content" },
    });

    // How long removals are kept. Balancers that were disconnected for longer get a snapshot.
    constexpr std::chrono::seconds removalLifetime { 120 };
    // How often old removals are looked for.
    constexpr std::chrono::seconds removalSweepInterval { 10 };

    // Ages are sent as 32 bits; longer ones count as this one.
    constexpr std::chrono::milliseconds maxAge { std::numeric_limits<std::uint32_t>::max() };

    // Patches kept for each value, as long as they are no larger together than the value. Balancers that missed more
    // revisions get the whole value.
    constexpr std::size_t maxPatches = 16;

    // Deltas remembered beyond a gap. Later ones are merged, but count only after a fetch.
    constexpr std::size_t maxAheadRanges = 256;

    std::uint32_t millisecondsBetween(TimePoint then, TimePoint now)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
        return static_cast<std::uint32_t>(std::clamp(age, std::chrono::milliseconds(0), maxAge).count());
    }

    // Decompresses the value. A value that can't be decompressed stays as it is, and its reader rejects it.
    StoreUpdate decompressed(const StoreUpdate& item)
    {
        StoreUpdate result = item;
        if (!item.isCompressed)
            return result;
        if (Result<std::string> value = plainValue(item)) {
            result.value = std::move(value).value();
            result.isCompressed = false;
        }
        return result;
    }

    std::uint64_t digestOf(const StoreUpdate& item)
    {
        if (item.isRemoved)
            return 0;
        return hashString(item.value, hashString(item.key));
    }

    bool hasSameValue(const StoreUpdate& a, const StoreUpdate& b)
    {
        return a.isRemoved == b.isRemoved && a.isCompressed == b.isCompressed && a.value == b.value;
    }

}

std::string_view nameOf(StoreReplica::Refusal refusal) { return refusalNames.name(refusal); }

StoreReplica::Updates StoreReplica::merge(const StoreDelta& delta, TimePoint now)
{
    return mergeAll(delta, now, PatchCreation::No);
}

StoreReplica::Updates StoreReplica::mergeFromStore(const StoreDelta& delta, TimePoint now)
{
    return mergeAll(delta, now, PatchCreation::Yes);
}

StoreReplica::Updates StoreReplica::mergeAll(const StoreDelta& delta, TimePoint now, PatchCreation creation)
{
    Updates changed;
    lacksPatchBase_ = false;
    hasEnteredEra_ = false;
    refusal_ = refusalOf(delta);
    if (refusal_) {
        needsSnapshot_ |= *refusal_ == Refusal::OtherContent;
        return changed;
    }
    const bool entersEra = eraOf(delta.to) > eraOf(completeTo_) && (delta.isSnapshot || delta.leadsIntoEra());
    if (delta.isSnapshot)
        removeMissing(delta, now, changed);
    rows_.reserve(rows_.size() + (rows_.empty() ? delta.items.size() : 0));
    changed.reserve(changed.size() + delta.items.size());
    for (const StoreUpdate& item : delta.items) {
        if (mergeItem(item, now, creation))
            changed.push_back(rows_.at(item.key).item);
    }
    for (const ValuePatch& patch : delta.patches)
        lacksPatchBase_ |= !mergePatch(patch, now, changed);
    if (entersEra) {
        hasEnteredEra_ = completeTo_ > 0;
        needsSnapshot_ = false;
        eraEntry_ = delta.to;
    }
    if (!lacksPatchBase_)
        extendCompleteness(delta.isSnapshot || entersEra ? 0 : delta.completeFrom(), delta.to);
    // Receivers apply changes in the order in which the store made them.
    std::ranges::stable_sort(changed, {}, &StoreUpdate::revision);
    return changed;
}

std::optional<StoreReplica::Refusal> StoreReplica::refusalOf(const StoreDelta& delta) const
{
    if (eraOf(delta.to) < eraOf(completeTo_))
        return Refusal::EarlierEra;
    // An older snapshot lacks keys that were written since, which would look removed.
    if (delta.isSnapshot && delta.to < completeTo_)
        return Refusal::OlderSnapshot;
    const bool isInEra = eraOf(completeTo_) == eraOf(delta.to);
    if (delta.leadsIntoEra() && !isInEra && digestAfter(delta) != delta.digest)
        return Refusal::OtherContent;
    return std::nullopt;
}

std::uint64_t StoreReplica::digestAfter(const StoreDelta& delta) const
{
    std::uint64_t digest = digest_;
    for (const StoreUpdate& item : delta.items) {
        const auto found = rows_.find(item.key);
        const bool isKnown = found != rows_.end();
        if (isKnown && found->second.item.revision >= item.revision)
            continue;
        if (isKnown)
            digest -= digestOf(found->second.item);
        digest += digestOf(decompressed(item));
    }
    return digest;
}

// Datagrams overtake each other, so a delta may arrive before the one that it follows.
void StoreReplica::extendCompleteness(std::uint64_t from, std::uint64_t to)
{
    if (from > completeTo_) {
        if (aheadRanges_.size() < maxAheadRanges)
            aheadRanges_.insert({ from, to });
        return;
    }
    completeTo_ = std::max(completeTo_, to);
    while (!aheadRanges_.empty() && aheadRanges_.begin()->first <= completeTo_) {
        completeTo_ = std::max(completeTo_, aheadRanges_.begin()->second);
        aheadRanges_.erase(aheadRanges_.begin());
    }
}

void StoreReplica::removeMissing(const StoreDelta& delta, TimePoint now, Updates& changed)
{
    if (rows_.empty())
        return;
    absl::flat_hash_set<std::string_view> present(delta.items.size());
    for (const StoreUpdate& item : delta.items)
        present.insert(item.key);
    for (auto& [key, row] : rows_) {
        const bool isMissing = !row.item.isRemoved && row.item.revision <= delta.to && !present.contains(key);
        if (!isMissing)
            continue;
        digest_ -= digestOf(row.item);
        row = { { key, {}, delta.to, true }, now };
        changed.push_back(row.item);
    }
}

bool StoreReplica::mergeItem(const StoreUpdate& item, TimePoint now, PatchCreation creation)
{
    const auto [entry, isNew] = rows_.try_emplace(item.key);
    Row& row = entry->second;
    if (!isNew && item.revision <= row.item.revision)
        return false;
    StoreUpdate update = decompressed(item);
    const bool isSame = !isNew && hasSameValue(row.item, update);
    if (isSame && eraOf(row.item.revision) < eraOf(update.revision))
        return false;
    const bool wasKnown = !isNew && !row.item.isRemoved;
    if (!isNew)
        digest_ -= digestOf(row.item);
    digest_ += digestOf(update);
    Row former = std::exchange(row, { std::move(update), now - std::chrono::milliseconds(item.ageMilliseconds) });
    row.isSentCompressed = item.isCompressed && !row.item.isCompressed;
    if (row.isSentCompressed)
        row.compressed = item;
    if (creation == PatchCreation::Yes && wasKnown && row.isSentCompressed && former.isSentCompressed) {
        row.patches = std::move(former.patches);
        if (auto bytes = patchBytes(former.item.value, row.item.value))
            addPatch(row, { item.key, former.item.revision, item.revision, std::move(*bytes) });
        else
            row.patches.clear();
    }
    return !isSame && (wasKnown || !item.isRemoved);
}

bool StoreReplica::isCarriedOver(const StoreUpdate& item) const
{
    const auto found = rows_.find(item.key);
    return found != rows_.end() && eraOf(found->second.item.revision) < eraOf(item.revision);
}

// Returns false when the patch can't be applied, so that the replica still lacks its revision.
bool StoreReplica::mergePatch(const ValuePatch& patch, TimePoint now, Updates& changed)
{
    const auto found = rows_.find(patch.key);
    if (found == rows_.end())
        return false;
    Row& row = found->second;
    if (row.item.revision >= patch.revision)
        return true;
    if (row.item.revision != patch.base || row.item.isRemoved)
        return false;
    Result<std::string> value = applyPatch(row.item.value, patch);
    if (!value)
        return false;
    digest_ -= digestOf(row.item);
    row.item.value = std::move(value).value();
    digest_ += digestOf(row.item);
    row.item.revision = patch.revision;
    row.item.ageMilliseconds = patch.ageMilliseconds;
    row.readAt = now - std::chrono::milliseconds(patch.ageMilliseconds);
    row.isSentCompressed = true;
    row.compressed = {};
    addPatch(row, patch);
    // Several patches of one value count as one update, with the last value.
    std::erase_if(changed, [&](const StoreUpdate& item) { return item.key == patch.key; });
    changed.push_back(row.item);
    return true;
}

void StoreReplica::addPatch(Row& row, ValuePatch patch)
{
    row.patches.push_back(std::move(patch));
    const auto isOverLimit = [&row] {
        std::size_t bytes = 0;
        for (const ValuePatch& held : row.patches)
            bytes += held.bytes.size();
        return row.patches.size() > maxPatches || bytes > row.item.value.size();
    };
    while (isOverLimit())
        row.patches.erase(row.patches.begin());
}

const ValuePatch* StoreReplica::patchTo(const std::string& key, std::uint64_t revision) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end())
        return nullptr;
    const auto patch = std::ranges::find(found->second.patches, revision, &ValuePatch::revision);
    return patch == found->second.patches.end() ? nullptr : &*patch;
}

const StoreUpdate& StoreReplica::updateToSend(const Row& row)
{
    if (!row.isSentCompressed)
        return row.item;
    if (row.compressed.revision != row.item.revision) {
        row.compressed = row.item;
        compressValue(row.compressed);
    }
    return row.compressed;
}

// Adds the patches that lead from the value at the revision to the current one. Returns false when the first of them is
// no longer kept. A receiver that has all changes up to the revision holds that value or a newer one; both work as
// base.
bool StoreReplica::addPatches(const Row& row, std::uint64_t revision, TimePoint now, StoreDelta& delta)
{
    const auto first = std::ranges::find_if(
        row.patches, [&](const ValuePatch& patch) { return patch.base <= revision && patch.revision > revision; });
    if (first == row.patches.end())
        return false;
    for (auto patch = first; patch != row.patches.end(); ++patch) {
        delta.patches.push_back(*patch);
        delta.patches.back().ageMilliseconds = millisecondsBetween(row.readAt, now);
    }
    return true;
}

StoreDelta StoreReplica::deltaSince(std::uint64_t revision, TimePoint now, Encoding encoding) const
{
    StoreDelta delta;
    const bool leadsIntoEra = revision > 0 && eraOf(revision) < eraOf(completeTo_);
    delta.isSnapshot = revision == 0 || (leadsIntoEra ? isMostlyOfThisEra() : revision < droppedRemovalsTo_);
    delta.from = delta.isSnapshot ? 0 : revision;
    delta.to = completeTo_;
    delta.patchedFrom = delta.from;
    delta.digest = leadsIntoEra && !delta.isSnapshot ? digest_ : 0;
    for (const auto& [key, row] : rows_) {
        const bool isChanged = leadsIntoEra ? isOfThisEra(row) : deltaRevisionOf(row) > revision;
        const bool isWanted = delta.isSnapshot ? !row.item.isRemoved : isChanged;
        if (!isWanted)
            continue;
        const bool mayBePatched = encoding == Encoding::Patched && !delta.isSnapshot && !leadsIntoEra;
        if (mayBePatched && isOfThisEra(row) && addPatches(row, revision, now, delta))
            continue;
        addToDelta(row, now, delta);
    }
    std::ranges::sort(delta.patches, {}, &ValuePatch::revision);
    return delta;
}

StoreDelta StoreReplica::excerpt(const std::function<bool(const StoreUpdate&)>& filter, TimePoint now) const
{
    StoreDelta delta;
    delta.from = completeTo_;
    delta.to = completeTo_;
    delta.patchedFrom = delta.from;
    for (const auto& [key, row] : rows_) {
        if (!row.item.isRemoved && filter(row.item))
            addToDelta(row, now, delta);
    }
    return delta;
}

// A value that was carried over may have changed in the restored store until the replica entered the era. Later writes
// of the same value need not be sent: who is complete up to the entry holds it.
std::uint64_t StoreReplica::deltaRevisionOf(const Row& row) const
{
    return isOfThisEra(row) ? row.item.revision : eraEntry_;
}

bool StoreReplica::isMostlyOfThisEra() const
{
    const auto count = std::ranges::count_if(rows_, [&](const auto& row) { return isOfThisEra(row.second); });
    return static_cast<std::size_t>(count) * 2 > rows_.size();
}

void StoreReplica::addToDelta(const Row& row, TimePoint now, StoreDelta& delta) const
{
    delta.items.push_back(updateToSend(row));
    delta.items.back().revision = deltaRevisionOf(row);
    delta.items.back().ageMilliseconds = millisecondsBetween(row.readAt, now);
}

void StoreReplica::tick(TimePoint now)
{
    // A pass over all rows, so it is made seldom.
    if (now < nextRemovalSweep_)
        return;
    nextRemovalSweep_ = now + removalSweepInterval;
    absl::erase_if(rows_, [&](const auto& row) {
        const bool isOld = row.second.item.isRemoved && now - row.second.readAt > removalLifetime;
        if (isOld)
            droppedRemovalsTo_ = std::max(droppedRemovalsTo_, row.second.item.revision);
        return isOld;
    });
}

}
