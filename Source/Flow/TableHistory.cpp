#include "Flow/TableHistory.h"

#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::size_t keptGenerations = 8;

}

void TableHistory::add(std::uint64_t generation, std::shared_ptr<const BucketTable> table, const WeightFactors& factors)
{
    tables_.insert_or_assign(generation, Entry { std::move(table), factors });
}

std::shared_ptr<const BucketTable> TableHistory::find(std::uint64_t generation) const
{
    const auto table = tables_.find(generation);
    return table == tables_.end() ? nullptr : table->second.table;
}

const WeightFactors& TableHistory::factorsOf(std::uint64_t generation) const
{
    static const WeightFactors none;
    const auto table = tables_.find(generation);
    return table == tables_.end() ? none : table->second.factors;
}

BucketSet TableHistory::differingBuckets(std::uint64_t first, std::uint64_t last) const
{
    BucketSet buckets;
    const auto begin = tables_.find(first);
    if (begin == tables_.end())
        return buckets.set();
    for (auto table = std::next(begin); table != tables_.end() && table->first <= last; ++table) {
        if (table->second.table != begin->second.table)
            BucketTable::addDifference(*begin->second.table, *table->second.table, buckets);
    }
    return buckets;
}

void TableHistory::removeBelow(std::uint64_t generation)
{
    while (tables_.size() > keptGenerations && tables_.begin()->first < generation)
        tables_.erase(tables_.begin());
}

}
