#include "News/NewsBook.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>

namespace wisteriadock {

namespace {

    // Balancers that were cut off for longer read everything anew.
    constexpr std::chrono::seconds removalLifetime { 120 };

    // Ages above it, of some weeks, are told as this one.
    constexpr std::chrono::milliseconds longestAge { std::numeric_limits<std::uint32_t>::max() };

    std::uint32_t millisecondsBetween(TimePoint then, TimePoint now)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
        return static_cast<std::uint32_t>(std::clamp(age, std::chrono::milliseconds(0), longestAge).count());
    }

}

NewsBook::Changed NewsBook::merge(const NewsDelta& delta, TimePoint now)
{
    Changed changed;
    // A whole book that is older than this one would take this balancer back.
    if (delta.isWhole && delta.to < completeTo_)
        return changed;
    const bool isComplete = follows(delta);
    if (delta.isWhole) {
        absl::flat_hash_set<std::string> named;
        for (const NewsItem& item : delta.items)
            named.insert(item.key);
        for (auto& [key, row] : rows_) {
            const bool hasVanished = !row.item.isRemoved && row.item.revision <= delta.to && !named.contains(key);
            if (!hasVanished)
                continue;
            row = { { key, {}, delta.to, true }, now };
            changed.push_back(row.item);
        }
    }
    for (const NewsItem& item : delta.items) {
        if (mergeItem(item, now))
            changed.push_back(item);
    }
    if (isComplete)
        completeTo_ = std::max(completeTo_, delta.to);
    // Receivers act in the order in which the store made the changes.
    std::ranges::stable_sort(changed, {}, &NewsItem::revision);
    return changed;
}

bool NewsBook::mergeItem(const NewsItem& item, TimePoint now)
{
    const auto [entry, isNew] = rows_.try_emplace(item.key);
    Row& row = entry->second;
    if (!isNew && item.revision <= row.item.revision)
        return false;
    const bool wasKnown = !isNew && !row.item.isRemoved;
    row = { item, now - std::chrono::milliseconds(item.ageMilliseconds) };
    return wasKnown || !item.isRemoved;
}

NewsDelta NewsBook::since(std::uint64_t revision, TimePoint now) const
{
    NewsDelta delta;
    delta.isWhole = revision == 0 || revision < forgottenTo_;
    delta.from = delta.isWhole ? 0 : revision;
    delta.to = completeTo_;
    for (const auto& [key, row] : rows_) {
        const bool isWanted = delta.isWhole ? !row.item.isRemoved : row.item.revision > revision;
        if (!isWanted)
            continue;
        delta.items.push_back(row.item);
        delta.items.back().ageMilliseconds = millisecondsBetween(row.at, now);
    }
    return delta;
}

void NewsBook::tick(TimePoint now)
{
    absl::erase_if(rows_, [&](const auto& row) {
        const bool isOld = row.second.item.isRemoved && now - row.second.at > removalLifetime;
        if (isOld)
            forgottenTo_ = std::max(forgottenTo_, row.second.item.revision);
        return isOld;
    });
}

}
