// Embeds the flow engine in a program with one balancer, one service and two backend servers. Shows that a flow stays
// at its server while the server drains and that new flows go to the other one. docs/EMBEDDING.md explains the steps.
#include "Flow/FlowEngine.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

using namespace wisteriadock;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

Configuration makeConfiguration()
{
    Configuration configuration;
    Service service;
    service.name = "tryon";
    service.id = serviceIdOf(service.name);
    service.address = { loopback, 443 };
    configuration.services.push_back(service);
    for (const char* name : { "tryon-1", "tryon-2" }) {
        BackendServer server;
        server.name = name;
        server.id = backendServerIdOf(name);
        server.service = service.id;
        server.flowAddress = { loopback, static_cast<std::uint16_t>(9001 + configuration.backendServers.size()) };
        configuration.backendServers.push_back(server);
    }
    return configuration;
}

// The members view, which the embedding program provides; it contains only this balancer.
std::shared_ptr<const MembersView> makeView(BalancerId self)
{
    auto view = std::make_shared<MembersView>();
    Member member;
    member.id = self;
    member.state = MemberState::Serving;
    view->self = self;
    view->members.push_back(member);
    return view;
}

void expect(bool condition, const char* what)
{
    std::printf("%s: %s\n", what, condition ? "yes" : "no");
    if (!condition)
        std::exit(1);
}

}

int main()
{
    const BalancerId self = balancerIdOf("embedded");
    FlowEngine engine({}, self, 1);
    ManualClock clock;

    // Each call takes the event and the current time and returns messages for other balancers; here there are none.
    Configuration configuration = makeConfiguration();
    engine.applyMembers(makeView(self), clock.now());
    engine.applyConfiguration(std::make_shared<Configuration>(configuration), 1, clock.now());
    engine.tick(clock.now());
    clock.advance(std::chrono::seconds(2));
    engine.tick(clock.now());
    expect(engine.isSynchronized(), "the engine decides on its own");

    FlowPacket packet;
    packet.client = { 0x0A000001, 40000 };
    packet.serviceAddress = configuration.services.front().address;
    const RouteDecision first = engine.route(packet, clock.now());
    expect(first.kind == RouteKind::ToBackendServer, "the flow has a backend server");

    for (BackendServer& server : configuration.backendServers) {
        if (server.id == first.backendServer)
            server.state = BackendServerState::Draining;
    }
    engine.applyConfiguration(std::make_shared<Configuration>(configuration), 2, clock.now());
    engine.tick(clock.now());
    expect(engine.route(packet, clock.now()).backendServer == first.backendServer,
        "the flow stays while its server drains");

    packet.client.port = 40001;
    expect(engine.route(packet, clock.now()).backendServer != first.backendServer, "a new flow goes elsewhere");
    return 0;
}
