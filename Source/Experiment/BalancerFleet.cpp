#include "Experiment/BalancerFleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto servingTimeout = 30s;
    constexpr auto pollInterval = 50ms;
    constexpr std::size_t seedCount = 2;
    // Longer than the fabric takes to stop sending to a stopped balancer, so that a graceful stop loses no packets.
    constexpr int drainSeconds = 4;

    // Balancer 0 of zone 0 is 127.0.1.10.
    std::string loopbackAddress(std::size_t zone, std::size_t index)
    {
        constexpr std::size_t firstHost = 10;
        return fmt::format("127.0.{}.{}", zone + 1, index + firstHost);
    }

}

BalancerFleet::BalancerFleet(BalancerEnvironment environment, const FleetPlan& plan, BalancerFleetOptions options)
    : environment_(environment)
    , plan_(plan)
    , options_(std::move(options))
{
}

Result<void> BalancerFleet::add(std::size_t count)
{
    const std::size_t first = balancers_.size();
    std::vector<std::string> settings(count);
    for (std::size_t i = 0; i < count; ++i) {
        balancers_.emplace_back().name = fmt::format("b{}", first + i + 1);
        BOOST_OUTCOME_TRYV(openLinks(balancers_.back(), first + i, settings[i]));
    }
    for (std::size_t i = 0; i < count; ++i) {
        BOOST_OUTCOME_TRYV(start(balancers_[first + i], first + i, settings[i]));
    }
    BOOST_OUTCOME_TRYV(updatePlatform());
    return updateFabric();
}

Result<void> BalancerFleet::openLinks(Balancer& balancer, std::size_t index, std::string& settings)
{
    FaultProxyControl& proxy = environment_.proxy;
    BOOST_OUTCOME_TRY(peer, proxy.putLink(linkOf("peer", index), LinkProtocol::Udp));
    BOOST_OUTCOME_TRY(flow, proxy.putLink(linkOf("flow", index), LinkProtocol::Udp));
    BOOST_OUTCOME_TRY(request, proxy.putLink(linkOf("request", index), LinkProtocol::Tcp));
    BOOST_OUTCOME_TRY(
        platform, proxy.putLink(linkOf("platform", index), LinkProtocol::Tcp, environment_.platform.address()));
    balancer.peerAddress = peer;

    const std::string host = loopbackAddress(zoneOf(index), index);
    settings = fmt::format("[balancer]\nname = {}\navailability_zone = {}\nseed = {}\n\n", balancer.name,
        plan_.availabilityZones[zoneOf(index)], index + 1);
    settings += fmt::format("[listen]\nflow = {0}:0\npeer = {0}:0\nrequest = {0}:0\nmetrics = {0}:0\n\n", host);
    settings += fmt::format(
        "[advertise]\nflow = {}\npeer = {}\nrequest = {}\n\n", flow.toString(), peer.toString(), request.toString());
    settings += fmt::format("[platform]\naddress = {}\n\n", platform.toString());
    settings += fmt::format("[flow]\npolicy = {}\n\n[drain]\nseconds = {}\n\n", options_.policy, drainSeconds);
    settings += options_.extraSettings;
    return boost::outcome_v2::success();
}

Result<void> BalancerFleet::start(Balancer& balancer, std::size_t index, const std::string& settings)
{
    std::string seeds;
    std::size_t listed = 0;
    for (const Balancer& other : balancers_) {
        if (&other == &balancer || other.stopRequested || listed == seedCount)
            continue;
        seeds += (listed == 0 ? "" : ", ") + other.peerAddress.toString();
        ++listed;
    }
    const std::string peers = seeds.empty() ? "" : fmt::format("[peers]\nseeds = {}\n", seeds);
    BOOST_OUTCOME_TRY(file, environment_.starter.directory().write(balancer.name + ".ini", settings + peers));
    BOOST_OUTCOME_TRY(process,
        environment_.starter.startListening(balancer.name, "wisteriadock-balancer", { "--settings=" + file.string() },
            { "flow", "peer", "request", "metrics" }));
    balancer.process = std::move(process);
    balancer.requestAddress = balancer.process->listening("request").value();
    balancer.fabricAddress = balancer.process->listening("flow").value();

    FaultProxyControl& proxy = environment_.proxy;
    BOOST_OUTCOME_TRYV(proxy.putLink(linkOf("peer", index), LinkProtocol::Udp, balancer.process->listening("peer")));
    BOOST_OUTCOME_TRYV(proxy.putLink(linkOf("flow", index), LinkProtocol::Udp, balancer.process->listening("flow")));
    BOOST_OUTCOME_TRYV(proxy.putLink(linkOf("request", index), LinkProtocol::Tcp, balancer.requestAddress));
    if (options_.fabricThroughProxy) {
        BOOST_OUTCOME_TRY(entry, proxy.putLink(linkOf("fabric", index), LinkProtocol::Udp, balancer.fabricAddress));
        balancer.fabricAddress = entry;
    }
    return boost::outcome_v2::success();
}

Result<void> BalancerFleet::waitUntilServing(std::uint64_t configurationVersion)
{
    const TimePoint deadline = Clock::now() + servingTimeout;
    while (true) {
        const auto serving = areServing(configurationVersion);
        if (serving && serving.value())
            return boost::outcome_v2::success();
        const std::string exits = unexpectedExits();
        if (!exits.empty())
            return Error { ErrorCode::Unavailable, exits };
        if (Clock::now() > deadline) {
            return Error { ErrorCode::DeadlineExceeded,
                "not all balancers are serving: " + (serving ? "not ready yet" : serving.error().toString()) };
        }
        BOOST_OUTCOME_TRYV(environment_.starter.loop().runUntil(Clock::now() + pollInterval));
    }
}

Result<bool> BalancerFleet::areServing(std::uint64_t configurationVersion)
{
    for (const Balancer& balancer : balancers_) {
        if (balancer.stopRequested)
            continue;
        BOOST_OUTCOME_TRY(serving, isServing(balancer, configurationVersion));
        if (!serving)
            return false;
    }
    return true;
}

Result<bool> BalancerFleet::isServing(const Balancer& balancer, std::uint64_t configurationVersion)
{
    BOOST_OUTCOME_TRY(status, environment_.client.get(balancer.requestAddress, "/status"));
    if (status.value("state", "") != "serving" || status.value("configuration_version", 0ULL) < configurationVersion)
        return false;
    const auto members = status.value("members", nlohmann::json::array());
    const auto serving = std::count_if(
        members.begin(), members.end(), [](const auto& member) { return member.value("state", "") == "serving"; });
    return static_cast<std::size_t>(serving) >= runningCount();
}

Result<void> BalancerFleet::stop(std::size_t index)
{
    balancers_[index].stopRequested = true;
    balancers_[index].vmState = VmState::Leaving;
    balancers_[index].process->signal(SIGTERM);
    return updatePlatform();
}

void BalancerFleet::kill(std::size_t index)
{
    balancers_[index].stopRequested = true;
    balancers_[index].process->signal(SIGKILL);
}

void BalancerFleet::pause(std::size_t index) { balancers_[index].process->signal(SIGSTOP); }

void BalancerFleet::resume(std::size_t index) { balancers_[index].process->signal(SIGCONT); }

Result<void> BalancerFleet::removeFromFabric(std::size_t index)
{
    balancers_[index].inFabric = false;
    BOOST_OUTCOME_TRYV(updateFabric());
    return updatePlatform();
}

Result<void> BalancerFleet::updatePlatform()
{
    std::vector<Vm> vms;
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        const Balancer& balancer = balancers_[i];
        if (balancer.inFabric || balancer.process->running()) {
            vms.push_back({ balancer.name, plan_.availabilityZones[zoneOf(i)], balancer.peerAddress.toString(),
                balancer.vmState });
        }
    }
    return environment_.platform.setVms(vms);
}

Result<void> BalancerFleet::updateFabric()
{
    std::vector<Endpoint> entries;
    for (const Balancer& balancer : balancers_) {
        if (balancer.inFabric)
            entries.push_back(balancer.fabricAddress);
    }
    return environment_.fabric.setBalancers(entries);
}

std::size_t BalancerFleet::runningCount() const
{
    return static_cast<std::size_t>(std::count_if(
        balancers_.begin(), balancers_.end(), [](const Balancer& balancer) { return !balancer.stopRequested; }));
}

std::vector<RunningBalancer> BalancerFleet::runningBalancers() const
{
    std::vector<RunningBalancer> result;
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        if (!balancers_[i].stopRequested)
            result.push_back({ balancers_[i].name, zoneOf(i), balancers_[i].requestAddress });
    }
    return result;
}

std::string BalancerFleet::linkOf(const std::string& kind, std::size_t index) const
{
    return fmt::format("{}/{}/b{}", kind, zoneOf(index) + 1, index + 1);
}

std::string BalancerFleet::sourceOf(std::size_t index) const { return loopbackAddress(zoneOf(index), index) + ":*"; }

std::string BalancerFleet::sourcesOfZone(std::size_t zone) const { return fmt::format("127.0.{}.*", zone + 1); }

std::string BalancerFleet::sourcesOutsideZone(std::size_t zone) const { return fmt::format("127.0.[!{}].*", zone + 1); }

std::vector<Endpoint> BalancerFleet::requestAddresses() const
{
    std::vector<Endpoint> addresses;
    for (const Balancer& balancer : balancers_) {
        if (!balancer.stopRequested)
            addresses.push_back(balancer.requestAddress);
    }
    return addresses;
}

double BalancerFleet::processorSeconds() const
{
    double sum = 0;
    for (const Balancer& balancer : balancers_) {
        if (!balancer.stopRequested)
            sum += balancer.process->processorSeconds();
    }
    return sum;
}

std::string BalancerFleet::unexpectedExits() const
{
    std::string text;
    for (const Balancer& balancer : balancers_) {
        if (balancer.process && !balancer.stopRequested && !balancer.process->running()) {
            text += fmt::format("{} exited unexpectedly with {}: {}\n", balancer.name, *balancer.process->exitCode(),
                balancer.process->errorTail());
        }
    }
    return text;
}

}
