#include "Flow/BucketTable.h"

#include "Flow/TablePolicies.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    std::vector<BackendServerId> assign(FlowPolicy policy, const TableInput& input)
    {
        switch (policy) {
        case FlowPolicy::Modulo:
            return ModuloAssignment::assign(input);
        case FlowPolicy::ConsistentHash:
            return RingAssignment::assign(input);
        case FlowPolicy::BoundedLoads:
            return BoundedRingAssignment::assign(input);
        case FlowPolicy::Protected:
            break;
        }
        return BoundedRendezvousAssignment::assign(input);
    }

}

std::shared_ptr<const BucketTable> BucketTable::build(
    FlowPolicy policy, double evenness, ServiceId service, std::span<const ServerShare> shares)
{
    TableInput input { service, evenness, {} };
    for (const ServerShare& share : shares) {
        if (share.weight > 0)
            input.shares.push_back(share);
    }
    // The result must not depend on the order of the shares, which may differ between versions of the software.
    std::sort(input.shares.begin(), input.shares.end(),
        [](const ServerShare& a, const ServerShare& b) { return a.server < b.server; });
    std::vector<BackendServerId> servers
        = input.shares.empty() ? std::vector<BackendServerId>(bucketCount) : assign(policy, input);
    return std::shared_ptr<const BucketTable>(new BucketTable(std::move(servers)));
}

void BucketTable::addDifference(const BucketTable& first, const BucketTable& second, BucketSet& buckets)
{
    for (BucketIndex bucket = 0; bucket < bucketCount; ++bucket) {
        if (first.at(bucket) != second.at(bucket))
            buckets.set(bucket);
    }
}

}
