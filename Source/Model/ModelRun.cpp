#include "Model/ModelRun.h"

#include "Core/Hash.h"
#include "Model/EventQueue.h"
#include "Model/ModelBackends.h"
#include "Model/ModelCallers.h"
#include "Model/ModelForwarder.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // The health checks of the routers on the users' platform.
    constexpr std::chrono::milliseconds probeInterval { 500 };
    constexpr std::uint32_t missesUntilRemoval = 2;
    constexpr std::chrono::milliseconds tickInterval { 250 };
    // The time from a forwarder's stop signal to its exit, and from one planned stop to the next.
    constexpr std::chrono::milliseconds stopDuration { 1500 };
    constexpr std::chrono::milliseconds stopInterval { 1200 };

    // One simulation run: injects the faults, models the routers' health checks and passes packets between callers,
    // forwarders and backend servers.
    class Run {
    public:
        Run(const ModelScenario& scenario, const ModelPolicy& policy, std::uint64_t seed)
            : scenario_(scenario)
            , policy_(policy)
            , random_(seed)
            , callers_(events_, scenario, hashPair(seed, 1),
                  [this](std::uint32_t zone, const TokenPacket& packet, ModelRequestId request) {
                      events_.after(scenario_.callerDelay, [=, this] { routePacket(zone, packet, request); });
                  })
            , backends_(events_, scenario, callers_, random_)
            , startedAt_(events_.now())
        {
            makeForwarders();
            for (const ModelFault& fault : scenario.faults)
                events_.after(fault.at, [this, &fault] { injectFault(fault); });
            events_.after(ModelResult::stepLength, [this] { sampleLoad(); });
        }

        ModelResult run()
        {
            callers_.start();
            std::chrono::milliseconds longestBudget { 0 };
            for (const ModelRequestKind& kind : scenario_.requestKinds)
                longestBudget = std::max(longestBudget, kind.budget);
            events_.runUntil(startedAt_ + scenario_.length + longestBudget + 1ms);
            ModelResult result = callers_.result();
            result.serverLoad = serverLoad_;
            result.busiestOverMean = backends_.busiestOverMean();
            return result;
        }

    private:
        struct Node {
            std::unique_ptr<ModelForwarder> forwarder;
            bool isInRotation = true;
            bool isStopping = false;
            std::uint32_t misses = 0;
            // Counts kills, so that a start scheduled before another kill is skipped.
            std::uint64_t generation = 0;
        };
        double drawUniform() { return boost::random::uniform_01<>()(random_); }

        void makeForwarders()
        {
            for (std::size_t kind = 0; kind < scenario_.requestKinds.size(); ++kind)
                configuration_.routes.push_back({ scenario_.requestKinds[kind].name, modelRouteOf(kind),
                    { { scenario_.requestKinds[kind].service, 1 } }, scenario_.requestKinds[kind].targetLatency });
            configuration_.version = 1;
            for (std::uint32_t zone = 0; zone < scenario_.zones; ++zone) {
                for (std::uint32_t i = 0; i < scenario_.forwardersPerZone; ++i) {
                    nodes_.push_back({});
                    nodes_.back().forwarder = std::make_unique<ModelForwarder>(
                        events_, modelZoneName(zone), policy_, Duration(scenario_.packetTime));
                }
            }
            for (std::size_t node = 0; node < nodes_.size(); ++node) {
                startForwarder(node);
                events_.after(
                    std::chrono::duration_cast<Duration>(probeInterval * drawUniform()), [this, node] { probe(node); });
                events_.after(
                    std::chrono::duration_cast<Duration>(tickInterval * drawUniform()), [this, node] { tick(node); });
            }
        }

        void startForwarder(std::size_t index)
        {
            Node& node = nodes_[index];
            node.isStopping = false;
            node.forwarder->start(configuration_);
            backends_.putListedServersInto(*node.forwarder->router());
        }

        void killForwarder(std::size_t index, Duration down)
        {
            Node& node = nodes_[index];
            node.forwarder->kill();
            const Duration downtime = down + scenario_.startTime;
            events_.after(downtime, [this, index, generation = ++node.generation] {
                if (nodes_[index].generation == generation)
                    startForwarder(index);
            });
        }

        // A random share of the numbers 0 to count - 1, without repetition.
        std::vector<std::size_t> pickRandom(std::size_t count, double share)
        {
            std::vector<std::size_t> all(count);
            for (std::size_t i = 0; i < count; ++i)
                all[i] = i;
            const auto wanted = static_cast<std::size_t>(std::lround(static_cast<double>(count) * share));
            for (std::size_t i = 0; i < wanted; ++i) {
                const auto other = boost::random::uniform_int_distribution<std::size_t>(i, count - 1)(random_);
                std::swap(all[i], all[other]);
            }
            all.resize(wanted);
            return all;
        }

        void injectFault(const ModelFault& fault)
        {
            switch (fault.kind) {
            case ModelFaultKind::PowerLossOfAll:
                return killForwarders(pickRandom(nodes_.size(), 1), fault.length);
            case ModelFaultKind::Kill:
                return killForwarders(pickRandom(nodes_.size(), fault.share), fault.length);
            case ModelFaultKind::PlannedStop:
                return stopForwarders(pickRandom(nodes_.size(), fault.share));
            case ModelFaultKind::ServersCrash:
                for (const std::size_t server : pickRandom(backends_.size(), fault.share))
                    crashServer(server);
                return;
            case ModelFaultKind::ServersSlow:
                for (const std::size_t server : pickRandom(backends_.size(), fault.share)) {
                    backends_.server(server).setSlowdown(fault.factor);
                    events_.after(fault.length, [this, server] { backends_.server(server).setSlowdown(1); });
                }
                return;
            case ModelFaultKind::Overload:
                callers_.setLoadFactor(fault.factor);
                events_.after(fault.length, [this] { callers_.setLoadFactor(1); });
                return;
            case ModelFaultKind::Shift:
                callers_.setZoneShift(fault.share);
                events_.after(fault.length, [this] { callers_.setZoneShift(0); });
                return;
            }
        }

        void killForwarders(const std::vector<std::size_t>& nodes, Duration down)
        {
            for (const std::size_t node : nodes)
                killForwarder(node, down + std::chrono::duration_cast<Duration>(scenario_.startSpread * drawUniform()));
        }

        void stopForwarders(const std::vector<std::size_t>& nodes)
        {
            Duration when {};
            for (const std::size_t node : nodes) {
                events_.after(when, [this, node] {
                    nodes_[node].isStopping = true;
                    events_.after(stopDuration, [this, node] { killForwarder(node, {}); });
                });
                when += stopInterval;
            }
        }

        void crashServer(std::size_t index)
        {
            backends_.crash(index, [this, index] {
                for (std::size_t node = 0; node < nodes_.size(); ++node) {
                    events_.after(scenario_.propagationDelay, [this, node, index] {
                        if (TokenRouter* router = nodes_[node].forwarder->router())
                            router->removeServer(backends_.server(index).entry().id, false, events_.now());
                    });
                }
            });
        }

        void probe(std::size_t index)
        {
            Node& node = nodes_[index];
            const bool isReady = node.forwarder->isUp() && !node.isStopping;
            node.misses = isReady ? 0 : node.misses + 1;
            if (isReady || node.misses >= missesUntilRemoval)
                node.isInRotation = isReady;
            events_.after(probeInterval, [this, index] { probe(index); });
        }

        void tick(std::size_t index)
        {
            nodes_[index].forwarder->tick();
            events_.after(tickInterval, [this, index] { tick(index); });
        }

        std::vector<std::size_t> nodesOf(std::uint32_t zone, bool onlyInRotation) const
        {
            std::vector<std::size_t> found;
            const std::size_t first = std::size_t(zone) * scenario_.forwardersPerZone;
            for (std::size_t i = first; i < first + scenario_.forwardersPerZone; ++i) {
                if (!onlyInRotation || nodes_[i].isInRotation)
                    found.push_back(i);
            }
            return found;
        }

        // The forwarders that the zone's routers spread packets over: those in rotation, or all of the zone if less
        // than half are; with none in rotation, those of the first other zone that has some, else all of the zone.
        std::vector<std::size_t> targetsOf(std::uint32_t zone) const
        {
            std::vector<std::size_t> targets = nodesOf(zone, true);
            if (targets.empty()) {
                for (std::uint32_t other = 0; other < scenario_.zones && targets.empty(); ++other)
                    targets = nodesOf(other, true);
            } else if (targets.size() * 2 < scenario_.forwardersPerZone) {
                targets.clear();
            }
            return targets.empty() ? nodesOf(zone, false) : targets;
        }

        void routePacket(std::uint32_t zone, const TokenPacket& packet, ModelRequestId request)
        {
            const std::vector<std::size_t> targets = targetsOf(zone);
            const std::uint64_t hash = hashPair(
                (std::uint64_t(packet.ends.caller.address) << 16) | packet.ends.caller.port, packet.ends.route.address);
            ModelForwarder& forwarder = *nodes_[targets[hash % targets.size()]].forwarder;
            forwarder.handle(
                packet,
                [this, &forwarder, opens = packet.opens] {
                    if (policy_.knowsTrueLoads && opens)
                        backends_.setTrueLoadsIn(*forwarder.router());
                },
                [this, &forwarder, packet, request](
                    const PacketDecision& decision) { applyDecision(forwarder, packet, request, decision); });
        }

        void applyDecision(const ModelForwarder& forwarder, const TokenPacket& packet, ModelRequestId request,
            const PacketDecision& decision)
        {
            if (decision.verdict == PacketVerdict::Reset)
                events_.after(scenario_.callerDelay, [this, ends = packet.ends] { callers_.handleReset(ends); });
            if (decision.verdict != PacketVerdict::Forward)
                return;
            const bool isSameZone = decision.server->entry.availabilityZone == forwarder.zone();
            const std::size_t index = backends_.indexOf(decision.server->entry.id);
            events_.after(isSameZone ? scenario_.zoneDelay : scenario_.crossZoneDelay,
                [this, index, packet, request] { backends_.receive(index, packet, request); });
        }

        void sampleLoad()
        {
            serverLoad_.push_back(backends_.load());
            if (events_.now() - startedAt_ < scenario_.length)
                events_.after(ModelResult::stepLength, [this] { sampleLoad(); });
        }

        const ModelScenario& scenario_;
        const ModelPolicy& policy_;
        EventQueue events_;
        boost::random::mt19937_64 random_;
        ModelCallers callers_;
        ModelBackends backends_;
        TimePoint startedAt_;
        ForwardingConfiguration configuration_;
        std::vector<Node> nodes_;
        std::vector<std::uint32_t> serverLoad_;
    };

}

ModelResult runModel(const ModelScenario& scenario, const ModelPolicy& policy, std::uint64_t seed)
{
    return Run(scenario, policy, seed).run();
}

std::vector<PolicyResults> runModels(const ModelScenario& scenario, const std::vector<const ModelPolicy*>& policies,
    std::uint64_t firstSeed, unsigned seeds, unsigned threads, const std::function<void(std::size_t done)>& onProgress)
{
    std::vector<PolicyResults> rows;
    rows.reserve(policies.size());
    for (const ModelPolicy* policy : policies)
        rows.push_back({ std::string(policy->name), std::vector<ModelResult>(seeds) });
    std::atomic<std::size_t> next = 0;
    std::size_t done = 0;
    std::mutex lock;
    const auto work = [&] {
        for (std::size_t i = next++; i < policies.size() * seeds; i = next++) {
            const std::size_t policy = i / seeds;
            const std::size_t seed = i % seeds;
            rows[policy].results[seed] = runModel(scenario, *policies[policy], firstSeed + seed);
            const std::lock_guard guard(lock);
            onProgress(++done);
        }
    };
    std::vector<std::thread> workers;
    workers.reserve(std::max(1U, threads));
    for (unsigned i = 0; i < std::max(1U, threads); ++i)
        workers.emplace_back(work);
    for (std::thread& worker : workers)
        worker.join();
    return rows;
}

}
