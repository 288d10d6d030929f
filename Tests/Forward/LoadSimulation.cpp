#include "Forward/LoadSimulation.h"

#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration reportInterval = 500ms;
    constexpr Duration tickInterval = 250ms;
    // The last requests are served or late after this time.
    constexpr double drainSeconds = 1;
    constexpr std::uint32_t callersPerZone = 3000;

    Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

}

LoadSimulation::LoadSimulation(LoadScenario scenario)
    : scenario_(std::move(scenario))
    , random_(scenario_.seed)
    , observed_(static_cast<std::size_t>(scenario_.balancersPerZone) * zones)
    , servers_(static_cast<std::size_t>(serversPerZone) * zones)
    , counts_(static_cast<std::size_t>(scenario_.seconds) / windowSeconds + 1)
{
    for (std::size_t balancer = 0; balancer < observed_.size(); ++balancer) {
        routers_.emplace_back();
        start(balancer);
    }
}

void LoadSimulation::start(std::size_t balancer)
{
    ForwardingConfiguration configuration = ForwardFixture::configuration(1);
    configuration.routes[1].shares = { { "tryon", 1 } };
    for (std::uint32_t priority : { 0U, 1U }) {
        configuration.routes[priority].priority = priority;
        configuration.routes[priority].targetLatency = scenario_.targetLatency;
    }
    RouterSettings settings;
    settings.availabilityZone = zoneName(static_cast<int>(balancer) / scenario_.balancersPerZone);
    settings.overload = scenario_.overload;
    routers_[balancer] = std::make_unique<TokenRouter>(settings);
    routers_[balancer]->applyConfiguration(configuration);
    for (int server = 0; server < serversPerZone * zones; ++server)
        routers_[balancer]->putServer(
            ForwardFixture::server(std::uint64_t(server) + 1, "tryon", zoneName(server / serversPerZone)), 1,
            clock_.now());
}

void LoadSimulation::run()
{
    for (int zone = 0; zone < zones; ++zone) {
        for (int priority : { 0, 1 }) {
            arrive(zone, priority, 0);
            arrive(zone, priority, requestsPerKeptFlow);
        }
    }
    after(0, [this] { report(); });
    after(0, [this] { tick(); });
    while (!events_.empty() && second() < scenario_.seconds + drainSeconds) {
        Event event = events_.top();
        events_.pop();
        clock_.advance(event.at - clock_.now());
        event.run();
    }
}

LoadSimulation::Count LoadSimulation::count(int zone, int priority, int window) const
{
    Count sum;
    for (int w = 0; w < windows(); ++w) {
        for (int z = 0; z < zones; ++z) {
            for (int p : { 0, 1 }) {
                if ((zone < 0 || z == zone) && (priority < 0 || p == priority) && (window < 0 || w == window))
                    sum.add(counts_[w][z][p]);
            }
        }
    }
    return sum;
}

void LoadSimulation::after(double seconds, std::function<void()> run)
{
    events_.push({ clock_.now() + durationOf(seconds), ++eventNumber_, std::move(run) });
}

LoadSimulation::Count& LoadSimulation::countOf(const Request& request)
{
    const double began = std::chrono::duration<double>(request.began - start_).count();
    return counts_[static_cast<std::size_t>(began) / windowSeconds][request.zone][request.priority];
}

// Begins a request now and schedules the next arrival of this kind. requests: on one flow; 0 for a flow per request.
void LoadSimulation::arrive(int zone, int priority, int requests)
{
    const double share = requests > 0 ? keptShare / requests : 1 - keptShare;
    const double demand = scenario_.demand(zone, priority, second()) * double(serversPerZone * slots);
    const double rate = std::max(0.1, demand * share / serviceSeconds);
    after(std::exponential_distribution<>(rate)(random_), [this, zone, priority, requests] {
        if (second() >= scenario_.seconds)
            return;
        Request request;
        request.zone = zone;
        request.priority = priority;
        request.following = std::max(0, requests - 1);
        request.caller = static_cast<std::uint32_t>(
            static_cast<std::uint64_t>(zone) * callersPerZone + random_() % callersPerZone);
        request.began = clock_.now();
        ++countOf(request).requests;
        open(request);
        arrive(zone, priority, requests);
    });
}

void LoadSimulation::open(Request request)
{
    const int count = scenario_.balancersPerZone;
    const int former = request.balancer;
    do
        request.balancer = request.zone * count + static_cast<int>(random_() % std::uint64_t(count));
    while (request.balancer == former && count > 1);
    ++request.attempts;
    TokenPacket packet = ForwardFixture::opening(
        request.caller, 0, request.priority == 0 ? ForwardFixture::tryonRoute : ForwardFixture::scanRoute);
    packet.ends.caller.port = ++port_;
    const PacketDecision decision = routers_[request.balancer]->route(packet, clock_.now());
    if (decision.verdict != PacketVerdict::Forward) {
        ++countOf(request).refused;
        return after(0.001, [this, request] { retry(request); });
    }
    request.server = static_cast<int>(decision.server->entry.number) - 1;
    request.packet = packet;
    request.packet.token = decision.server->token;
    request.packet.opens = false;
    request.packet.acknowledges = true;
    request.packet.sequence = 1001;
    request.packet.acknowledgement = 5001;
    after(0.002, [this, request] { send(request); });
}

void LoadSimulation::send(Request request)
{
    ++countOf(request).attempts;
    request.packet.payloadBytes = 100;
    brokenFlows += routers_[request.balancer]->route(request.packet, clock_.now()).verdict != PacketVerdict::Forward;
    request.packet.sequence += 100;
    Observed& observed = observedOf(request);
    observed.change(1, clock_.now());
    ++observed.load.begun;
    Server& server = servers_[request.server];
    if (server.busy < slots)
        serve(request);
    else if (server.queue.size() < queueLimit)
        server.queue.push_back(request);
    else
        after(0.086 + 0.079 * random(), [this, request] { answer(request, false); });
}

void LoadSimulation::serve(Request request)
{
    ++servers_[request.server].busy;
    const double factor = scenario_.slowness(request.server, second()) * (0.5 + random());
    after(serviceSeconds * factor, [this, request] {
        Server& server = servers_[request.server];
        --server.busy;
        if (!server.queue.empty()) {
            Request next = server.queue.front();
            server.queue.pop_front();
            serve(next);
        }
        answer(request, true);
    });
}

void LoadSimulation::answer(Request request, bool isServed)
{
    Observed& observed = observedOf(request);
    observed.change(-1, clock_.now());
    ++(isServed ? observed.load.served : observed.load.rejected);
    request.packet.acknowledgement += 500;
    request.packet.payloadBytes = 0;
    request.packet.finishes = !isServed || request.following == 0;
    brokenFlows += routers_[request.balancer]->route(request.packet, clock_.now()).verdict != PacketVerdict::Forward;
    if (!isServed) {
        ++countOf(request).rejected;
        return retry(request);
    }
    countOf(request).inTime += clock_.now() - request.began <= scenario_.targetLatency;
    goOn(request);
}

void LoadSimulation::retry(Request request)
{
    if (request.attempts < 3)
        return open(request);
    request.server = -1;
    goOn(request);
}

// The caller's next request after a pause, on the same flow if it is open.
void LoadSimulation::goOn(Request request)
{
    if (request.following == 0)
        return;
    after(0.3 * 2 * random(), [this, request]() mutable {
        if (second() >= scenario_.seconds)
            return;
        --request.following;
        request.attempts = request.server < 0 ? 0 : 1;
        request.began = clock_.now();
        ++countOf(request).requests;
        request.server < 0 ? open(request) : send(request);
    });
}

void LoadSimulation::report()
{
    Report report;
    for (int zone = 0; zone < zones; ++zone)
        report.sum.callerZones.insert(zoneName(zone));
    const float seconds = std::chrono::duration<float>(reportInterval).count();
    std::array<std::array<std::array<RequestLoad, 2>, zones>, zones> sums {};
    const auto add = [](RequestLoad& sum, const RequestLoad& load, float factor) {
        sum.inProgress += load.inProgress * factor;
        sum.begun += load.begun * factor;
        sum.served += load.served * factor;
        sum.rejected += load.rejected * factor;
    };
    for (std::size_t balancer = 0; balancer < observed_.size(); ++balancer) {
        const int zone = static_cast<int>(balancer) / scenario_.balancersPerZone;
        ServiceLoad own;
        own.callerZones.insert(zoneName(zone));
        for (int serverZone = 0; serverZone < zones; ++serverZone) {
            for (std::uint32_t priority : { 0U, 1U }) {
                Observed& observed = observed_[balancer][serverZone][priority];
                observed.change(0, clock_.now());
                observed.load.inProgress = static_cast<float>(observed.busySeconds);
                ServiceLoadRow row { zoneName(zone), zoneName(serverZone), priority, {} };
                add(row.load, observed.load, static_cast<float>(scenario_.balancersPerZone) / seconds);
                add(sums[zone][serverZone][priority], observed.load, 1 / seconds);
                own.rows.push_back(row);
                observed.load = {};
                observed.busySeconds = 0;
            }
        }
        report.byBalancer.push_back(std::move(own));
        const double delay = scenario_.knowledge == LoadKnowledge::Delayed ? 0.5 + 0.5 * random() : 0;
        report.knownFrom.push_back(clock_.now() + durationOf(delay));
    }
    for (int zone = 0; zone < zones; ++zone) {
        for (int serverZone = 0; serverZone < zones; ++serverZone) {
            for (std::uint32_t priority : { 0U, 1U })
                report.sum.rows.push_back(
                    { zoneName(zone), zoneName(serverZone), priority, sums[zone][serverZone][priority] });
        }
    }
    scenario_.distort(report.sum, second());
    reports_.push_back(std::move(report));
    if (reports_.size() > 4)
        reports_.pop_front();
    after(std::chrono::duration<double>(reportInterval).count(), [this] { this->report(); });
}

void LoadSimulation::tick()
{
    for (std::size_t balancer = 0; balancer < routers_.size(); ++balancer) {
        const ServiceLoad* newest = nullptr;
        for (const Report& report : reports_) {
            if (report.knownFrom[balancer] <= clock_.now())
                newest = scenario_.knowledge == LoadKnowledge::Own ? &report.byBalancer[balancer] : &report.sum;
        }
        if (newest && scenario_.knowledge != LoadKnowledge::None)
            routers_[balancer]->setServiceLoad("tryon", *newest);
        routers_[balancer]->tick(clock_.now());
    }
    if (scenario_.restartAt >= 0 && second() >= scenario_.restartAt) {
        scenario_.restartAt = -1;
        for (std::size_t balancer = 0; balancer < routers_.size(); ++balancer)
            start(balancer);
    }
    after(std::chrono::duration<double>(tickInterval).count(), [this] { tick(); });
}

}
