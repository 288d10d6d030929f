#include "Flow/TablePolicies.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace wisteriadock {

static_assert(
    TablePolicy<
        BoundedRendezvousAssignment> && TablePolicy<ModuloAssignment> && TablePolicy<RingAssignment> && TablePolicy<BoundedRingAssignment>);

namespace {

    constexpr double maxMargin = 0.25;
    constexpr std::uint32_t virtualNodesPerServer = 100;

    double totalWeight(const TableInput& input)
    {
        return std::accumulate(input.shares.begin(), input.shares.end(), 0.0,
            [](double sum, const ServerShare& share) { return sum + share.weight; });
    }

    // The maximum number of buckets per server. Rounded up, so that the sum is at least the number of buckets.
    std::vector<std::size_t> bucketCaps(const TableInput& input, double margin)
    {
        const double total = totalWeight(input);
        std::vector<std::size_t> caps;
        for (const ServerShare& share : input.shares) {
            const double fairShare = double(bucketCount) * share.weight / total;
            caps.push_back(static_cast<std::size_t>(std::ceil(fairShare * (1 + margin))));
        }
        return caps;
    }

    // Weighted rendezvous score. The server with the highest score gets the bucket; on average, servers get buckets in
    // proportion to their weights.
    double rendezvousScore(std::uint64_t bucketHash, const ServerShare& share)
    {
        const std::uint64_t hash = hashPair(bucketHash, share.server.value);
        constexpr double hashRange = 18446744073709551616.0;
        const double uniform = (static_cast<double>(hash) + 1) / (hashRange + 2);
        return -double(share.weight) / std::log(uniform);
    }

    struct RingNode {
        std::uint64_t position = 0;
        std::size_t server = 0;
    };

    std::vector<RingNode> buildRing(const TableInput& input)
    {
        const double meanWeight = totalWeight(input) / double(input.shares.size());
        std::vector<RingNode> ring;
        for (std::size_t server = 0; server < input.shares.size(); ++server) {
            const double relativeWeight = input.shares[server].weight / meanWeight;
            const auto nodes = std::max<std::uint32_t>(1, std::lround(virtualNodesPerServer * relativeWeight));
            for (std::uint32_t node = 0; node < nodes; ++node)
                ring.push_back({ hashPair(input.shares[server].server.value, node), server });
        }
        std::sort(ring.begin(), ring.end(), [](const RingNode& a, const RingNode& b) {
            return std::pair(a.position, a.server) < std::pair(b.position, b.server);
        });
        return ring;
    }

    std::vector<BackendServerId> assignFromRing(const TableInput& input, const std::vector<std::size_t>& caps)
    {
        const std::vector<RingNode> ring = buildRing(input);
        std::vector<std::size_t> assigned(input.shares.size(), 0);
        std::vector<BackendServerId> servers(bucketCount);
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
            const std::uint64_t position = hashPair(input.service.value, bucket);
            auto node = std::lower_bound(ring.begin(), ring.end(), position,
                [](const RingNode& candidate, std::uint64_t value) { return candidate.position < value; });
            for (std::size_t step = 0; step < ring.size(); ++step, ++node) {
                if (node == ring.end())
                    node = ring.begin();
                if (assigned[node->server] < caps[node->server])
                    break;
            }
            if (node == ring.end())
                node = ring.begin();
            ++assigned[node->server];
            servers[bucket] = input.shares[node->server].server;
        }
        return servers;
    }

}

std::vector<BackendServerId> BoundedRendezvousAssignment::assign(const TableInput& input)
{
    const bool capped = input.evenness > 0;
    const double margin = (1 - input.evenness) * maxMargin;
    std::vector<std::size_t> remaining
        = capped ? bucketCaps(input, margin) : std::vector<std::size_t>(input.shares.size(), bucketCount);
    std::vector<BackendServerId> servers(bucketCount);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const std::uint64_t bucketHash = hashPair(input.service.value, bucket);
        double bestScore = -1;
        std::size_t best = 0;
        for (std::size_t server = 0; server < input.shares.size(); ++server) {
            if (remaining[server] == 0)
                continue;
            const double score = rendezvousScore(bucketHash, input.shares[server]);
            if (score > bestScore) {
                bestScore = score;
                best = server;
            }
        }
        --remaining[best];
        servers[bucket] = input.shares[best].server;
    }
    return servers;
}

std::vector<BackendServerId> ModuloAssignment::assign(const TableInput& input)
{
    std::vector<BackendServerId> servers(bucketCount);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        servers[bucket] = input.shares[bucket % input.shares.size()].server;
    return servers;
}

std::vector<BackendServerId> RingAssignment::assign(const TableInput& input)
{
    return assignFromRing(input, std::vector<std::size_t>(input.shares.size(), bucketCount));
}

std::vector<BackendServerId> BoundedRingAssignment::assign(const TableInput& input)
{
    return assignFromRing(input, bucketCaps(input, maxMargin));
}

}
