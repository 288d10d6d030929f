#pragma once

#include "Flow/BucketTable.h"
#include "Flow/TableDefinition.h"

#include <cstdint>
#include <map>
#include <memory>

namespace wisteriadock {

// The tables of one service that this balancer has known lately, by generation. Bounded.
class TableHistory {
public:
    void add(std::uint64_t generation, std::shared_ptr<const BucketTable>, const WeightFactors& = {});

    // Null when the generation is not known (any more).
    std::shared_ptr<const BucketTable> find(std::uint64_t generation) const;
    // The factors by which that table was built; empty when the generation is not known.
    const WeightFactors& factorsOf(std::uint64_t generation) const;

    // The buckets whose server is not the same in all known tables from one generation to the other. All buckets when
    // the first generation is not known, since then nothing can be said.
    BucketSet differingBuckets(std::uint64_t first, std::uint64_t last) const;

    // Forgets generations below the given one, but keeps the latest few for balancers that lag behind.
    void forgetBelow(std::uint64_t generation);

private:
    struct Known {
        std::shared_ptr<const BucketTable> table;
        WeightFactors factors;
    };

    std::map<std::uint64_t, Known> tables_;
};

}
