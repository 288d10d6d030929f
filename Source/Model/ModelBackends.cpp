#include "Model/ModelBackends.h"

#include "Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // The behaviour of servers on the users' platform.
    constexpr std::uint32_t heartbeatsUntilExpiry = 3;
    constexpr std::chrono::microseconds handshakeTime { 300 };

    constexpr std::uint32_t firstServerAddress = 0x0A800001;
    constexpr std::uint16_t serverPort = 8080;
    // The load that setTrueLoadsIn() gives a crashed server: more than a running one has.
    constexpr std::uint32_t crashedServerLoad = 1000;

}

std::string modelZoneName(std::uint32_t zone) { return fmt::format("zone-{}", zone); }

ModelBackends::ModelBackends(
    EventQueue& events, const ModelScenario& scenario, ModelCallers& callers, boost::random::mt19937_64& random)
    : events_(events)
    , scenario_(scenario)
    , callers_(callers)
{
    std::uint32_t number = 0;
    for (std::size_t service = 0; service < scenario.services.size(); ++service) {
        const ModelService& kind = scenario.services[service];
        for (std::uint32_t i = 0; i < scenario.zones * kind.serversPerZone; ++i) {
            RegisteredServer entry;
            entry.number = hashPair(random(), ++number) | 1;
            entry.id = fmt::format("{:016x}", entry.number);
            entry.service = kind.name;
            entry.address = { firstServerAddress + number, serverPort };
            entry.availabilityZone = modelZoneName(i / kind.serversPerZone);
            entry.slots = kind.slots;
            indexOfId_[entry.id] = servers_.size();
            servers_.push_back(
                { std::make_unique<ModelServer>(events, std::move(entry), kind.queue), service, true, number });
        }
    }
}

void ModelBackends::putListedServersInto(TokenRouter& router) const
{
    for (const Server& server : servers_) {
        if (server.isListed)
            router.putServer(server.server->entry(), server.revision, events_.now());
    }
}

void ModelBackends::setTrueLoadsIn(TokenRouter& router) const
{
    router.directory().forEach([&](KnownServer& known) {
        const ModelServer& server = *servers_[indexOf(known.entry.id)].server;
        known.seen.busy = server.isAlive() ? server.load() : crashedServerLoad;
        known.seen.flows = known.seen.busy;
    });
}

void ModelBackends::receive(std::size_t index, const TokenPacket& packet, ModelRequestId request)
{
    Server& server = servers_[index];
    if (!server.server->isAlive())
        return;
    const FlowEnds ends = packet.ends;
    if (packet.opens) {
        server.flows.try_emplace(ends);
        const std::uint32_t token = tokenOf(server.server->entry().number);
        return reply(handshakeTime, [this, ends, token] { callers_.handleOpened(ends, token); });
    }
    const auto found = server.flows.find(ends);
    if (found == server.flows.end()) {
        if (!packet.finishes)
            reply(Duration {}, [this, ends] { callers_.handleReset(ends); });
    } else if (packet.finishes) {
        server.flows.erase(found);
    } else if (request != noModelRequest) {
        handleRequest(index, found->second, ends, request);
    }
}

// A retransmitted request is neither run twice nor rejected once it has been accepted.
void ModelBackends::handleRequest(std::size_t index, Flow& flow, const FlowEnds& ends, ModelRequestId request)
{
    if (flow.request == request) {
        if (flow.isAnswered)
            reply(Duration {}, [this, ends, request] { callers_.handleAnswer(ends, request); });
        return;
    }
    const bool isAccepted = server(index).submit(callers_.workOf(request), [this, index, ends, request] {
        const auto held = servers_[index].flows.find(ends);
        if (held != servers_[index].flows.end())
            held->second.isAnswered = true;
        reply(Duration {}, [this, ends, request] { callers_.handleAnswer(ends, request); });
    });
    if (isAccepted)
        flow = { request, false };
    else
        reply(Duration {}, [this, ends, request] { callers_.handleRefusal(ends, request); });
}

void ModelBackends::reply(Duration after, std::function<void()> action)
{
    events_.after(after + scenario_.callerDelay, std::move(action));
}

void ModelBackends::crash(std::size_t index, std::function<void()> onEntryExpired)
{
    Server& server = servers_[index];
    server.server->crash();
    server.flows.clear();
    events_.after(
        scenario_.heartbeat * heartbeatsUntilExpiry, [this, index, onEntryExpired = std::move(onEntryExpired)] {
            servers_[index].isListed = false;
            onEntryExpired();
        });
}

std::uint32_t ModelBackends::load() const
{
    std::uint32_t load = 0;
    for (const Server& server : servers_)
        load += server.server->isAlive() ? server.server->load() : 0;
    return load;
}

double ModelBackends::busiestOverMean() const
{
    double worst = 0;
    for (std::size_t service = 0; service < scenario_.services.size(); ++service) {
        double sum = 0;
        double maxAccepted = 0;
        double count = 0;
        for (const Server& server : servers_) {
            if (server.service != service)
                continue;
            const auto accepted = static_cast<double>(server.server->acceptedCount());
            sum += accepted;
            maxAccepted = std::max(maxAccepted, accepted);
            ++count;
        }
        worst = std::max(worst, sum > 0 ? maxAccepted * count / sum : 0);
    }
    return worst;
}

}
