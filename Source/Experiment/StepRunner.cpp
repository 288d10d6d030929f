#include "Experiment/StepRunner.h"

#include "Experiment/ZoneFaults.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Long enough that balancers have different versions, short enough that calls to the platform do not time out.
    constexpr std::chrono::milliseconds versionDelay = 1200ms;

    BackendServer* find(Configuration& configuration, const std::string& name)
    {
        for (BackendServer& server : configuration.backendServers) {
            if (server.name == name)
                return &server;
        }
        return nullptr;
    }

}

StepRunner::StepRunner(Deployment& deployment, std::vector<Step> steps, TimePoint begin)
    : deployment_(deployment)
    , steps_(std::move(steps))
    , begin_(begin)
{
    const FleetPlan& plan = deployment.plan();
    for (std::size_t i = 0; i < plan.initialServerCount(); ++i)
        active_[plan.servers[i].name] = BackendServer().weight;
}

Result<void> StepRunner::poll()
{
    const TimePoint now = Clock::now();
    for (std::size_t i = 0; i < endings_.size();) {
        if (endings_[i].at > now) {
            ++i;
            continue;
        }
        const Step step = endings_[i].step;
        endings_.erase(endings_.begin() + static_cast<std::ptrdiff_t>(i));
        BOOST_OUTCOME_TRYV(end(step));
    }
    while (next_ < steps_.size() && begin_ + steps_[next_].at <= now) {
        const Step& step = steps_[next_++];
        ++(isPlannedChange(step.kind) ? plannedChanges_ : failures_);
        log_.info(fmt::format("{} of {} for {} ms", nameOf(step.kind), step.subject, step.length.count()));
        BOOST_OUTCOME_TRYV(begin(step));
        if (step.length.count() > 0)
            endings_.push_back({ now + step.length, step });
    }
    return deployment_.configurationOperator().poll();
}

Result<void> StepRunner::endAll()
{
    while (!endings_.empty()) {
        const Step step = endings_.back().step;
        endings_.pop_back();
        BOOST_OUTCOME_TRYV(end(step));
    }
    return boost::outcome_v2::success();
}

std::string_view StepRunner::lastStepBefore(TimePoint at) const
{
    std::string_view name = "none";
    for (std::size_t i = 0; i < next_ && begin_ + steps_[i].at <= at; ++i)
        name = nameOf(steps_[i].kind);
    return name;
}

Result<void> StepRunner::begin(const Step& step)
{
    BalancerFleet& balancers = deployment_.balancers();
    switch (step.kind) {
    case StepKind::DrainServer:
        setServerState(step, BackendServerState::Draining);
        return boost::outcome_v2::success();
    case StepKind::UndrainServer:
        setServerState(step, BackendServerState::Active);
        return boost::outcome_v2::success();
    case StepKind::ChangeWeight:
        changeWeight(step);
        return boost::outcome_v2::success();
    case StepKind::AddServer:
        addServer(step);
        return boost::outcome_v2::success();
    case StepKind::JoinBalancer:
        return balancers.add(1);
    case StepKind::StopBalancer:
        return balancers.stop(step.subject);
    case StepKind::DelayVersions:
        return deployment_.proxy().setFaults(
            { balancers.linkOf("platform", step.subject) }, { .delay = versionDelay }, Direction::ToSource);
    case StepKind::KillBalancer:
        balancers.kill(step.subject);
        return boost::outcome_v2::success();
    case StepKind::FreezeBalancer:
        balancers.pause(step.subject);
        return boost::outcome_v2::success();
    case StepKind::CutOneWay:
        return cutOneWay(step, { .cut = true });
    case StepKind::CutZone:
        return setZoneFaults(deployment_, step.subject, { .cut = true });
    case StepKind::PlatformOutage:
        return deployment_.platform().setOutage(true);
    }
    return boost::outcome_v2::success();
}

Result<void> StepRunner::end(const Step& step)
{
    BalancerFleet& balancers = deployment_.balancers();
    switch (step.kind) {
    case StepKind::StopBalancer:
    case StepKind::KillBalancer:
        return balancers.removeFromFabric(step.subject);
    case StepKind::DelayVersions:
        return deployment_.proxy().setFaults({ balancers.linkOf("platform", step.subject) }, {}, Direction::ToSource);
    case StepKind::FreezeBalancer:
        balancers.resume(step.subject);
        return boost::outcome_v2::success();
    case StepKind::CutOneWay:
        return cutOneWay(step, {});
    case StepKind::CutZone:
        return setZoneFaults(deployment_, step.subject, {});
    case StepKind::PlatformOutage:
        return deployment_.platform().setOutage(false);
    default:
        return boost::outcome_v2::success();
    }
}

void StepRunner::setServerState(const Step& step, BackendServerState state)
{
    const std::string name = serverName(step);
    const auto apply = [&](Configuration& configuration) {
        BackendServer* server = find(configuration, name);
        server->state = state;
        if (state == BackendServerState::Active)
            active_[name] = server->weight;
    };
    if (state == BackendServerState::Draining) {
        active_.erase(name);
        deployment_.configurationOperator().change(
            apply, [this, name](TimePoint accepted) { drainChecker_.drainAccepted(name, accepted); });
    } else {
        drainChecker_.undrainRequested(name, Clock::now());
        deployment_.configurationOperator().change(apply);
    }
}

void StepRunner::changeWeight(const Step& step)
{
    const std::string name = serverName(step);
    if (active_.contains(name))
        active_[name] = step.weight;
    deployment_.configurationOperator().change(
        [&](Configuration& configuration) { find(configuration, name)->weight = step.weight; });
}

void StepRunner::addServer(const Step& step)
{
    const BackendServer server = deployment_.backendServer(step.subject);
    active_[server.name] = server.weight;
    deployment_.configurationOperator().change([&](Configuration& configuration) {
        auto& servers = configuration.backendServers;
        const auto place = std::lower_bound(servers.begin(), servers.end(), server.name,
            [](const BackendServer& each, const std::string& name) { return each.name < name; });
        servers.insert(place, server);
    });
}

Result<void> StepRunner::cutOneWay(const Step& step, const FaultSettings& settings)
{
    BalancerFleet& balancers = deployment_.balancers();
    for (const char* kind : { "peer", "flow" }) {
        BOOST_OUTCOME_TRYV(deployment_.proxy().setFaults(
            { balancers.linkOf(kind, step.other), balancers.sourceOf(step.subject) }, settings, Direction::ToTarget));
    }
    return boost::outcome_v2::success();
}

}
