#include "Soak/SoakRun.h"

#include "Core/Hash.h"
#include "platform/StoredValues.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // All forwarders of a run use these ports, each on its own address.
    constexpr std::uint16_t flowPort = 18172;
    constexpr std::uint16_t readyPort = 18167;
    constexpr std::uint16_t peerPort = 17720;
    constexpr std::uint16_t serverPort = 18080;

    constexpr auto tickPeriod = 20ms;
    constexpr auto checkPeriod = 500ms;
    constexpr int missesUntilRemoval = 2;
    constexpr auto startTimeout = 20s;
    constexpr std::uint32_t firstServerHost = 20;
    constexpr std::uint32_t callerHost = 200;

}

std::string SoakRun::zoneName(std::size_t zone) { return fmt::format("zone-{}", zone); }

SoakRun::SoakRun(const SoakOptions& options, const SoakPlan& plan, EventLoop& loop, const RunDirectory& directory)
    : options_(options)
    , plan_(plan)
    , loop_(loop)
    , directory_(directory)
    , proxy_(loop.context(), plan.seed)
    , random_(plan.seed ^ 0xF10F5)
{
    serverEvents_.onCorruptedPacket
        = [this](const RegisteredServer& server) { checker_.noteCorruptedPacket(server.id); };
    serverEvents_.onOpening = [this](const RegisteredServer& server, const FlowEnds& ends) {
        for (const auto& callers : callers_) {
            if (const SoakCallers::Opening* opening = callers->openingOf(ends);
                opening && opening->sent != TimePoint()) {
                checker_.noteOpening({ server.id, server.service, server.availabilityZone, ends.route,
                                         opening->balancer, opening->sent },
                    Clock::now());
                return;
            }
        }
    };
    callerEvents_.onCorruptedPacket = [this] { checker_.noteCorruptedPacket("a caller"); };
    callerEvents_.onRequest = [this](bool isServed, const std::string& balancer, Endpoint route, TimePoint sent) {
        checker_.noteRequest(isServed, balancer, route, sent, Clock::now());
    };
    callerEvents_.onReset = [this](const FlowEnds& ends, const std::string& balancer, bool isOpen) {
        const bool isServerAlive
            = std::ranges::any_of(servers_, [&](const auto& server) { return server->hasOpenFlow(ends); });
        checker_.noteReset(fmt::format("{}>{}", ends.caller.toString(), ends.route.toString()), balancer, isOpen,
            isServerAlive, Clock::now());
    };
    callerEvents_.routePacket = [this](const FlowEnds& ends) { return routePacket(ends); };
}

// Destroying the clients of the readiness checks runs their callbacks, which use delayedActions_. Without this,
// delayedActions_ would be destroyed first.
SoakRun::~SoakRun() { balancers_.clear(); }

Result<void> SoakRun::run()
{
    BOOST_OUTCOME_TRY(build());
    startedAt_ = Clock::now();
    lastTick_ = startedAt_;
    const TimePoint end = startedAt_ + plan_.length;
    while (Clock::now() < end) {
        BOOST_OUTCOME_TRY(loop_.runUntil(Clock::now() + tickPeriod));
        tick(Clock::now());
    }
    checker_.finish(Clock::now());
    saveLogs();
    return boost::outcome_v2::success();
}

Result<void> SoakRun::build()
{
    BOOST_OUTCOME_TRY(reserveNetwork());
    BOOST_OUTCOME_TRY(store, SoakStore::open(loop_.context(), { 0x7F000001, 0 }));
    store_ = std::move(store);
    for (std::uint32_t number = 1; number <= 4; ++number)
        configuration_.routes.push_back(
            { fmt::format("route-{}", number), routeOf(number), { { services[number % 2], 1 } } });
    configuration_.version = 1;
    for (std::size_t zone = 0; zone < options_.availabilityZones; ++zone) {
        const auto base = 0x7F000000U | (std::uint32_t(network_) << 16) | (static_cast<std::uint32_t>(zone + 1) << 8);
        for (std::size_t i = 0; i < options_.serversPerZone; ++i)
            openServer(services[i % 2], zoneName(zone),
                { base + firstServerHost + static_cast<std::uint32_t>(i), serverPort });
        BOOST_OUTCOME_TRY(callers,
            SoakCallers::open(loop_.context(), { base + callerHost, flowPort }, plan_.seed + zone, callerEvents_));
        callers_.push_back(std::move(callers));
    }
    writeConfiguration();
    BOOST_OUTCOME_TRY(buildBalancers());
    return loop_.waitUntil(
        [this] {
            const TimePoint now = Clock::now();
            performDueActions(now);
            for (Balancer& balancer : balancers_)
                checkReadiness(balancer);
            watchProcesses(now);
            return std::ranges::all_of(balancers_, [](const Balancer& balancer) { return balancer.misses == 0; });
        },
        startTimeout, "all forwarders are ready");
}

// Reserves a /16 network of loopback addresses for this run by binding one address in it for the length of the run, so
// that concurrent runs do not use the same addresses.
Result<void> SoakRun::reserveNetwork()
{
    constexpr std::uint32_t firstNetwork = 16;
    constexpr std::uint32_t networks = 200;
    constexpr std::uint32_t reservationHost = 250;
    const auto begin = static_cast<std::uint32_t>(::getpid()) % networks;
    for (std::uint32_t i = 0; i < networks; ++i) {
        const std::uint32_t network = firstNetwork + (begin + i) % networks;
        const Endpoint address { 0x7F000000U | (network << 16) | reservationHost, flowPort };
        auto reservation
            = UdpSocket::bind(loop_.context(), address, [](const Endpoint&, std::span<const std::uint8_t>) {});
        if (!reservation)
            continue;
        reservation_ = std::move(reservation).value();
        network_ = static_cast<std::uint8_t>(network);
        return boost::outcome_v2::success();
    }
    return Error { ErrorCode::Unavailable, "all loopback networks are in use" };
}

Result<void> SoakRun::buildBalancers()
{
    for (std::size_t zone = 0; zone < options_.availabilityZones; ++zone) {
        for (std::size_t i = 0; i < options_.balancersPerZone; ++i) {
            Balancer balancer;
            balancer.name = fmt::format("vm-{}-{}", zone, i);
            balancer.availabilityZone = zoneName(zone);
            balancer.address = { 0x7F000000U | (std::uint32_t(network_) << 16)
                    | (static_cast<std::uint32_t>(zone + 1) << 8) | static_cast<std::uint32_t>(i + 1),
                0 };
            balancer.packetLink = "packets-" + balancer.name;
            balancer.storeLink = "store-" + balancer.name;
            const Endpoint any { 0x7F000001, 0 };
            BOOST_OUTCOME_TRY(packets,
                proxy_.putLink(
                    { balancer.packetLink, LinkProtocol::Udp, any, { balancer.address.address, flowPort } }));
            BOOST_OUTCOME_TRY(store, proxy_.putLink({ balancer.storeLink, LinkProtocol::Tcp, any, store_->address() }));
            balancer.packetProxyAddress = packets;
            balancer.storeProxyAddress = store;
            balancer.readiness = std::make_unique<Http1Client>(
                loop_.context(), Endpoint { balancer.address.address, readyPort }, Http1Limits {});
            checker_.disturb(balancer.name, Clock::now());
            balancers_.push_back(std::move(balancer));
        }
    }
    for (Balancer& balancer : balancers_) {
        BOOST_OUTCOME_TRY(startBalancer(balancer));
    }
    return boost::outcome_v2::success();
}

Result<void> SoakRun::writeSettings(const Balancer& balancer) const
{
    const auto at = [&](std::uint16_t port) { return Endpoint { balancer.address.address, port }.toString(); };
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, balancers_.size()); ++i)
        seeds += (i == 0 ? "" : ",") + Endpoint { balancers_[i].address.address, peerPort }.toString();
    const std::string text = fmt::format("[forwarder]\nvm = {}\navailability_zone = {}\n[listen]\nflow = {}\nready = "
                                         "{}\npeer = {}\n[store]\naddress = {}\n[peers]\nseed_vms = {}\n"
                                         "[limits]\ngrace_seconds = {}\n; written at start {}\n",
        balancer.name, balancer.availabilityZone, at(flowPort), at(readyPort), at(peerPort),
        balancer.storeProxyAddress.toString(), seeds, std::chrono::duration<double>(stopGracePeriod).count(),
        balancer.starts);
    BOOST_OUTCOME_TRY(directory_.write(balancer.name + ".ini", text));
    return boost::outcome_v2::success();
}

Result<void> SoakRun::startBalancer(Balancer& balancer)
{
    ++balancer.starts;
    BOOST_OUTCOME_TRY(writeSettings(balancer));
    const auto settings = directory_.path() / (balancer.name + ".ini");
    BOOST_OUTCOME_TRY(process,
        ChildProcess::start(loop_.context(),
            { fmt::format("{}-{}", balancer.name, balancer.starts), options_.forwarderProgram,
                { "--settings=" + settings.string() }, directory_.path() }));
    balancer.process = std::move(process);
    balancer.isExitExpected = false;
    balancer.isStopping = false;
    balancer.restartAt.reset();
    checker_.disturb(balancer.name, Clock::now());
    return boost::outcome_v2::success();
}

void SoakRun::openServer(const std::string& service, const std::string& zone, Endpoint address)
{
    RegisteredServer entry;
    entry.number = ++nextServerNumber_ * 0x9E3779B1;
    entry.id = fmt::format("i-{:012x}", entry.number);
    entry.service = service;
    entry.address = freeAddressFrom(address);
    entry.availabilityZone = zone;
    entry.slots = 4;
    entry.startedAt = ++lastStartNumber_;
    openServer(entry);
}

// The replacements of two servers may be given the same address.
Endpoint SoakRun::freeAddressFrom(Endpoint address) const
{
    while (std::ranges::any_of(servers_, [&](const auto& server) { return server->entry().address == address; }))
        ++address.address;
    return address;
}

void SoakRun::openServer(const RegisteredServer& entry)
{
    auto server = SoakServer::open(loop_.context(), entry, flowPort, serverEvents_);
    if (!server)
        return checker_.noteFailedStep(server.error());
    servers_.push_back(std::move(server).value());
    writeEntry(*servers_.back());
}

void SoakRun::writeEntry(const SoakServer& server)
{
    store_->put(platform::serverKeyOf(server.entry().id), platform::encodeServer(server.entry()));
}

void SoakRun::writeConfiguration()
{
    store_->put(std::string(platform::configurationKey), platform::encodeConfiguration(configuration_));
    checker_.noteConfiguration(configuration_, Clock::now());
    std::vector<Endpoint> routes;
    for (const FlowRoute& route : configuration_.routes)
        routes.push_back(route.address);
    allRoutes_.insert(routes.begin(), routes.end());
    std::vector<Endpoint> removed;
    std::ranges::copy_if(allRoutes_, std::back_inserter(removed),
        [&](const Endpoint& route) { return std::ranges::count(routes, route) == 0; });
    for (const auto& callers : callers_)
        callers->setRoutes(routes, removed);
}

void SoakRun::tick(TimePoint now)
{
    while (nextStep_ < plan_.steps.size() && now >= startedAt_ + plan_.steps[nextStep_].at)
        performStep(plan_.steps[nextStep_++], now);
    performDueActions(now);
    watchProcesses(now);
    for (Balancer& balancer : balancers_)
        checkReadiness(balancer);
    flowsDue_ += std::chrono::duration<double>(now - lastTick_).count() * static_cast<double>(options_.flowsPerSecond);
    lastTick_ = now;
    for (; flowsDue_ >= 1; --flowsDue_)
        callers_[random_.next() % callers_.size()]->openFlows(1, now);
    for (const auto& callers : callers_)
        callers->tick(now);
}

void SoakRun::performDueActions(TimePoint now)
{
    std::vector<DelayedAction> due;
    std::erase_if(delayedActions_, [&](DelayedAction& delayed) {
        const bool isDue = now >= delayed.at;
        if (isDue)
            due.push_back(std::move(delayed));
        return isDue;
    });
    for (const DelayedAction& delayed : due)
        delayed.action();
}

void SoakRun::checkReadiness(Balancer& balancer)
{
    if (balancer.isCheckPending)
        return;
    balancer.isCheckPending = true;
    HttpRequest request;
    request.path = "/readiness";
    request.authority = "router";
    balancer.readiness->send(std::move(request), Clock::now() + checkPeriod, [this, &balancer](HttpOutcome outcome) {
        const bool isReady = outcome && outcome.value().status == 200;
        balancer.misses = isReady ? 0 : std::min(balancer.misses + 1, missesUntilRemoval);
        scheduleAfter(checkPeriod, Clock::now(), [&balancer] { balancer.isCheckPending = false; });
    });
}

void SoakRun::watchProcesses(TimePoint now)
{
    for (Balancer& balancer : balancers_) {
        if (balancer.resumeAt && now >= *balancer.resumeAt) {
            balancer.process->signal(SIGCONT);
            balancer.resumeAt.reset();
            balancer.isPaused = false;
            checker_.disturb(balancer.name, now);
        }
        const bool hasEnded = balancer.process && !balancer.process->running();
        if (hasEnded) {
            const int code = balancer.process->exitCode().value_or(-1);
            // The exit code of a process that this run killed is not checked.
            if (!balancer.isExitExpected || balancer.isStopping)
                checker_.noteExit(balancer.name, code, balancer.isExitExpected);
            std::ofstream(directory_.path() / (balancer.process->name() + ".log")) << balancer.process->output();
            balancer.process.reset();
            checker_.disturb(balancer.name, now);
            if (!balancer.restartAt)
                balancer.restartAt = now + 200ms;
        }
        if (!balancer.process && balancer.restartAt && now >= *balancer.restartAt)
            (void)startBalancer(balancer);
    }
}

std::pair<Endpoint, std::string> SoakRun::routePacket(const FlowEnds& ends) const
{
    const std::size_t zone = ((ends.caller.address >> 8) & 0xFF) - 1;
    std::vector<const Balancer*> all;
    std::vector<const Balancer*> ready;
    for (const Balancer& balancer : balancers_) {
        if (balancer.availabilityZone != zoneName(zone))
            continue;
        all.push_back(&balancer);
        if (balancer.misses < missesUntilRemoval)
            ready.push_back(&balancer);
    }
    const auto& chosen = 2 * ready.size() < all.size() ? all : ready;
    const Balancer& balancer
        = *chosen[hashPair(ends.caller.port, ends.route.address ^ ends.caller.address) % chosen.size()];
    return { balancer.packetProxyAddress, balancer.name };
}

void SoakRun::scheduleAfter(std::chrono::milliseconds time, TimePoint now, std::function<void()> action)
{
    delayedActions_.push_back({ now + time, std::move(action) });
}

void SoakRun::saveLogs() const
{
    for (const Balancer& balancer : balancers_) {
        if (balancer.process)
            std::ofstream(directory_.path() / (balancer.process->name() + ".log")) << balancer.process->output();
    }
    std::ofstream plan(directory_.path() / "plan.txt");
    for (const SoakStep& step : plan_.steps)
        plan << step.toString() << "\n";
    for (const std::string& violation : checker_.violations())
        plan << violation << "\n";
}

}
