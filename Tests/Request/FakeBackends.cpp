#include "FakeBackends.h"

#include <algorithm>

namespace wisteriadock::testing {

std::string answerBodyOf(const std::string& name) { return "confirmed " + name + " end"; }

FakeBackends::FakeBackends(EventSimulator& simulator, FakePartitions& partitions, const std::vector<std::string>& zones,
    std::uint32_t serversPerZone)
    : simulator_(simulator)
    , partitions_(partitions)
{
    Service service;
    service.name = "tryon";
    service.id = serviceIdOf(service.name);
    configuration_.services = { service };
    for (const std::string& zone : zones) {
        for (std::uint32_t i = 0; i < serversPerZone; ++i) {
            BackendServer server;
            server.name = zone + "-server-" + std::to_string(i);
            server.id = backendServerIdOf(server.name);
            server.service = service.id;
            server.availabilityZone = zone;
            configuration_.backendServers.push_back(server);
        }
    }
}

void FakeBackends::send(const std::string& fromZone, BackendServerId id, const std::string& name, TimePoint deadline,
    const std::function<void(Reply)>& reply)
{
    const auto server = std::find_if(configuration_.backendServers.begin(), configuration_.backendServers.end(),
        [&](const BackendServer& candidate) { return candidate.id == id; });
    simulator_.after(simulator_.between(microseconds(500), microseconds(1500)), [=, this, &settings = *server] {
        if (partitions_.isBlocked(fromZone, settings.availabilityZone))
            return reply({ nullptr, HttpFailureKind::NotSent });
        if (busy_[id] >= settings.slots)
            return reply({ nullptr, HttpFailureKind::Refused });
        ++busy_[id];
        runs[name].push_back(simulator_.now());
        simulator_.after(simulator_.between(milliseconds(10), milliseconds(120)),
            [=, this, &settings] { finish(fromZone, settings, name, deadline, reply); });
    });
}

void FakeBackends::finish(const std::string& fromZone, const BackendServer& server, const std::string& name,
    TimePoint deadline, const std::function<void(Reply)>& reply)
{
    --busy_[server.id];
    if (simulator_.now() > deadline)
        return reply({ nullptr, HttpFailureKind::DeadlineExceeded });
    if (partitions_.isBlocked(server.availabilityZone, fromZone) || simulator_.chance(answerLossProbability))
        return reply({ nullptr, HttpFailureKind::Lost });
    reply({ std::make_shared<HttpResponse>(HttpResponse { 200, {}, answerBodyOf(name) }), {} });
}

}
