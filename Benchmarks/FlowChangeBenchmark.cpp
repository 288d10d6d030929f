// Control bytes and processor time of one drain, by the flows of the server and the number of balancers, and the cost
// of a new members view for the flow engine. The fleet of engines runs in virtual time.
#include "Flow/FlowEngine.h"
#include "Wire/PeerMessageCodec.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t firstServiceAddress = 0xC6120000;
    constexpr std::uint32_t firstServerAddress = 0x0A000000;
    constexpr std::uint32_t firstClientAddress = 0x0B000000;
    constexpr std::uint32_t firstBalancerAddress = 0x0C000000;
    constexpr std::uint16_t port = 443;
    constexpr std::size_t serversPerService = 5;
    constexpr std::size_t availabilityZones = 8;
    constexpr auto tickPeriod = 50ms;
    constexpr auto messageDelay = 10ms;
    constexpr std::size_t ipAndUdpBytes = 28;
    constexpr int maxChangeTicks = 20 * 600;

    std::shared_ptr<Configuration> makeConfiguration(std::size_t services)
    {
        auto configuration = std::make_shared<Configuration>();
        for (std::size_t i = 0; i < services; ++i) {
            Service service;
            service.name = fmt::format("service-{:05}", i);
            service.id = serviceIdOf(service.name);
            service.address = { firstServiceAddress + static_cast<std::uint32_t>(i), port };
            configuration->services.push_back(service);
            for (std::size_t j = 0; j < serversPerService; ++j) {
                BackendServer server;
                server.name = fmt::format("{}-{}", service.name, j);
                server.id = backendServerIdOf(server.name);
                server.service = service.id;
                server.flowAddress
                    = { firstServerAddress + static_cast<std::uint32_t>(configuration->backendServers.size()), port };
                configuration->backendServers.push_back(server);
            }
        }
        return configuration;
    }

    MembersView makeView(std::size_t balancers)
    {
        MembersView view;
        view.revision = 1;
        for (std::size_t i = 0; i < balancers; ++i) {
            Member member;
            member.name = fmt::format("balancer-{:05}", i);
            member.id = balancerIdOf(member.name);
            member.availabilityZone = fmt::format("zone-{}", i % availabilityZones);
            member.peerAddress = member.flowAddress = member.requestAddress
                = { firstBalancerAddress + static_cast<std::uint32_t>(i), port };
            member.state = MemberState::Serving;
            view.members.push_back(member);
        }
        std::sort(
            view.members.begin(), view.members.end(), [](const Member& a, const Member& b) { return a.id < b.id; });
        view.self = view.members.front().id;
        return view;
    }

    double processorSeconds()
    {
        constexpr double nanosecondsPerSecond = 1e9;
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
    }

    std::size_t heapBytes()
    {
        const auto heap = mallinfo2();
        return heap.uordblks + heap.hblkhd;
    }

    // Engines with one service, joined by a queue that delays every message by messageDelay.
    class Fleet {
    public:
        struct Node {
            BalancerId id;
            std::unique_ptr<FlowEngine> engine;
            std::uint64_t bytesSent = 0;
            std::uint64_t messagesSent = 0;
            double processorSeconds = 0;
        };

        explicit Fleet(std::size_t balancers)
        {
            MembersView view = makeView(balancers);
            for (const Member& member : view.members)
                nodes_.push_back({ member.id, std::make_unique<FlowEngine>(FlowSettings {}, member.id, 1) });
            for (Node& node : nodes_) {
                view.self = node.id;
                perform(node, node.engine->applyMembers(std::make_shared<MembersView>(view), clock_.now()));
            }
            apply();
            runUntilSettled();
        }

        // Opens flows by sending a packet of each to every balancer. Returns the number of flows at the first server.
        std::size_t openFlows(std::size_t count)
        {
            std::size_t atServer = 0;
            for (std::size_t flow = 0; flow < count; ++flow) {
                FlowPacket packet;
                packet.client = { firstClientAddress + static_cast<std::uint32_t>(flow), port };
                packet.serviceAddress = configuration_->services.front().address;
                RouteDecision decision;
                for (const Node& node : nodes_)
                    decision = node.engine->route(packet, clock_.now());
                atServer += decision.backendServer == configuration_->backendServers.front().id;
            }
            return atServer;
        }

        void drainFirstServer()
        {
            auto changed = std::make_shared<Configuration>(*configuration_);
            changed->backendServers.front().state = BackendServerState::Draining;
            configuration_ = std::move(changed);
            for (Node& node : nodes_) {
                node.bytesSent = 0;
                node.messagesSent = 0;
                node.processorSeconds = 0;
            }
            apply();
        }

        // Returns the time until settled, or a negative duration if the tick limit was reached.
        Duration runUntilSettled()
        {
            const TimePoint start = clock_.now();
            for (int tick = 0; tick < maxChangeTicks; ++tick) {
                step();
                if (isSettled())
                    return clock_.now() - start;
            }
            return Duration(-1);
        }

        const std::vector<Node>& nodes() const { return nodes_; }

    private:
        struct Message {
            TimePoint arrival;
            BalancerId from;
            BalancerId to;
            FlowMessage message;
        };

        void apply()
        {
            ++version_;
            for (Node& node : nodes_) {
                measure(node, [&] { return node.engine->applyConfiguration(configuration_, version_, clock_.now()); });
            }
        }

        template <typename Call> void measure(Node& node, Call call)
        {
            const double before = processorSeconds();
            const FlowActions actions = call();
            node.processorSeconds += processorSeconds() - before;
            perform(node, actions);
        }

        // Counts bytes on the wire as the daemon sends them, including IP and UDP headers.
        void perform(Node& node, const FlowActions& actions)
        {
            for (const SendFlowMessage& action : actions) {
                PeerEnvelope envelope;
                envelope.sender = node.id;
                envelope.senderIncarnation
                    = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / 1ms);
                envelope.kind = PeerMessageKind::FlowControl;
                envelope.payload = encodeMessage(action.message);
                node.bytesSent += encodePeerEnvelope(envelope).value().size() + ipAndUdpBytes;
                ++node.messagesSent;
                messages_.push_back({ clock_.now() + messageDelay, node.id, action.to, action.message });
            }
        }

        void step()
        {
            const TimePoint end = clock_.now() + tickPeriod;
            while (!messages_.empty() && messages_.front().arrival <= end) {
                const Message message = std::move(messages_.front());
                messages_.pop_front();
                clock_.advance(message.arrival - clock_.now());
                const auto node = std::lower_bound(nodes_.begin(), nodes_.end(), message.to,
                    [](const Node& candidate, BalancerId id) { return candidate.id < id; });
                measure(*node, [&] { return node->engine->handle(message.from, message.message, clock_.now()); });
            }
            clock_.advance(end - clock_.now());
            for (Node& node : nodes_)
                measure(node, [&] { return node.engine->tick(clock_.now()); });
        }

        bool isSettled() const
        {
            return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) {
                return node.engine->isSynchronized() && node.engine->counters().unsettledServices == 0
                    && node.engine->mayLeave();
            });
        }

        ManualClock clock_;
        std::shared_ptr<Configuration> configuration_ = makeConfiguration(1);
        std::uint64_t version_ = 0;
        std::vector<Node> nodes_;
        std::deque<Message> messages_;
    };

    // Drains one server of a service. Arguments: balancers, flows per server. The arbiter is taken to be the node that
    // sends the most bytes.
    void drainOfOneServer(benchmark::State& state)
    {
        const auto balancers = static_cast<std::size_t>(state.range(0));
        const auto flowsPerServer = static_cast<std::size_t>(state.range(1));
        for (auto iteration : state) {
            Fleet fleet(balancers);
            const std::size_t flows = fleet.openFlows(flowsPerServer * serversPerService);
            fleet.drainFirstServer();
            const Duration length = fleet.runUntilSettled();
            if (length < Duration::zero()) {
                state.SkipWithError("the drain did not settle within the tick limit");
                return;
            }
            const auto& nodes = fleet.nodes();
            const auto arbiter = std::max_element(nodes.begin(), nodes.end(),
                [](const Fleet::Node& a, const Fleet::Node& b) { return a.bytesSent < b.bytesSent; });
            double otherBytes = 0;
            double otherSeconds = 0;
            for (const Fleet::Node& node : nodes) {
                const bool isOther = node.id != arbiter->id;
                otherBytes += isOther ? static_cast<double>(node.bytesSent) : 0;
                otherSeconds += isOther ? node.processorSeconds : 0;
            }
            const auto others = static_cast<double>(balancers - 1);
            state.counters["flows_of_server"] = static_cast<double>(flows);
            state.counters["arbiter_bytes"] = static_cast<double>(arbiter->bytesSent);
            state.counters["arbiter_messages"] = static_cast<double>(arbiter->messagesSent);
            state.counters["arbiter_cpu_seconds"] = arbiter->processorSeconds;
            state.counters["other_bytes"] = otherBytes / others;
            state.counters["other_cpu_seconds"] = otherSeconds / others;
            state.counters["settled_seconds"] = std::chrono::duration<double>(length).count();
        }
    }

    // Applies a members view in which one member changed. Arguments: services, members.
    void newMembersView(benchmark::State& state)
    {
        MembersView view = makeView(static_cast<std::size_t>(state.range(1)));
        ManualClock clock;
        FlowEngine engine(FlowSettings {}, view.self, 1);
        engine.applyMembers(std::make_shared<MembersView>(view), clock.now());
        engine.applyConfiguration(makeConfiguration(static_cast<std::size_t>(state.range(0))), 1, clock.now());
        for (auto iteration : state) {
            state.PauseTiming();
            ++view.revision;
            ++view.members.back().configurationVersion;
            auto next = std::make_shared<MembersView>(view);
            state.ResumeTiming();
            benchmark::DoNotOptimize(engine.applyMembers(std::move(next), clock.now()));
        }
    }

    // A control tick of a settled engine, by the number of tracked flows, including the search for idle flows.
    void tickWithFlows(benchmark::State& state)
    {
        constexpr std::size_t services = 2400;
        const auto configuration = makeConfiguration(services);
        const MembersView view = makeView(1);
        ManualClock clock;
        FlowEngine engine(FlowSettings {}, view.self, 1);
        engine.applyMembers(std::make_shared<MembersView>(view), clock.now());
        engine.applyConfiguration(configuration, 1, clock.now());
        engine.tick(clock.now());
        clock.advance(5s);
        engine.tick(clock.now());
        for (std::int64_t flow = 0; flow < state.range(0); ++flow) {
            FlowPacket packet;
            packet.client = { firstClientAddress + static_cast<std::uint32_t>(flow), port };
            packet.serviceAddress = configuration->services[static_cast<std::size_t>(flow) % services].address;
            engine.route(packet, clock.now());
        }
        // The clock does not advance, so that no flow expires.
        for (auto iteration : state)
            benchmark::DoNotOptimize(engine.tick(clock.now()));
        state.counters["tracked_flows"] = static_cast<double>(engine.counters().trackedFlows);
    }

    // Heap bytes of an engine without flows, by the number of services.
    void heapOfServices(benchmark::State& state)
    {
        const auto configuration = makeConfiguration(static_cast<std::size_t>(state.range(0)));
        const MembersView view = makeView(1);
        for (auto iteration : state) {
            const std::size_t before = heapBytes();
            ManualClock clock;
            FlowEngine engine(FlowSettings {}, view.self, 1);
            engine.applyMembers(std::make_shared<MembersView>(view), clock.now());
            engine.applyConfiguration(configuration, 1, clock.now());
            state.counters["heap_bytes"] = static_cast<double>(heapBytes() - before);
        }
    }

    // Heap bytes of one members view, by the number of members.
    void heapOfMembersView(benchmark::State& state)
    {
        const auto members = static_cast<std::size_t>(state.range(0));
        for (auto iteration : state) {
            const std::size_t before = heapBytes();
            const auto view = std::make_shared<MembersView>(makeView(members));
            state.counters["heap_bytes"] = static_cast<double>(heapBytes() - before);
        }
    }

    BENCHMARK(drainOfOneServer)
        ->Args({ 7, 100 })
        ->Args({ 7, 300 })
        ->Args({ 7, 1083 })
        ->Args({ 3, 1083 })
        ->Args({ 15, 1083 })
        ->Args({ 30, 1083 })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
    BENCHMARK(newMembersView)
        ->Args({ 240, 237 })
        ->Args({ 1200, 237 })
        ->Args({ 2400, 237 })
        ->Args({ 2400, 7 })
        ->Args({ 2400, 950 })
        ->Args({ 2400, 1900 })
        ->Unit(benchmark::kMillisecond);
    BENCHMARK(tickWithFlows)->Arg(100'000)->Arg(400'000)->Arg(1'600'000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(heapOfServices)->Arg(240)->Arg(1200)->Arg(2400)->Iterations(1)->Unit(benchmark::kMillisecond);
    BENCHMARK(heapOfMembersView)->Arg(100)->Arg(400)->Arg(1900)->Iterations(1)->Unit(benchmark::kMillisecond);

}
}

BENCHMARK_MAIN();
