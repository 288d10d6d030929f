#pragma once

#include "Flow/BucketTable.h"
#include "Flow/TableDefinition.h"

#include <cstdint>
#include <map>
#include <memory>

namespace wisteriadock {

// The most recent bucket tables of one service, by generation. TableSynchronizer keeps one.
class TableHistory {
public:
    void add(std::uint64_t generation, std::shared_ptr<const BucketTable>, const WeightFactors& = {});

    // The table of the generation; null if it was never added or has been removed.
    std::shared_ptr<const BucketTable> find(std::uint64_t generation) const;
    // The weight factors of that table; empty if the generation is unknown.
    const WeightFactors& factorsOf(std::uint64_t generation) const;

    // The buckets whose server differs between any of the known tables of the generations from first to last. All
    // buckets if the first generation is unknown.
    BucketSet differingBuckets(std::uint64_t first, std::uint64_t last) const;

    // Removes generations below the given one, but keeps the eight most recent for balancers that are behind.
    void removeBelow(std::uint64_t generation);

private:
    struct Entry {
        std::shared_ptr<const BucketTable> table;
        WeightFactors factors;
    };

    std::map<std::uint64_t, Entry> tables_;
};

}
