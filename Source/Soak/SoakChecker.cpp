#include "Soak/SoakChecker.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::size_t maxListedViolations = 20;
    // The share of requests that must be served while undisturbed. It is below 1 because crashes of servers, which lose
    // requests, do not count as disturbances of a balancer.
    constexpr double minUndisturbedShare = 0.9;
    constexpr double minRecoveredShare = 0.75;
    // Shares are checked only from this number of requests on.
    constexpr std::uint64_t minRequests = 20;

    std::int64_t millisecondsBetween(TimePoint then, TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
    }

    double shareOf(std::uint64_t part, std::uint64_t rest)
    {
        return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, part + rest));
    }

}

void SoakChecker::disturb(const std::string& balancer, TimePoint until)
{
    TimePoint& end = disturbedUntil_.try_emplace(balancer, TimePoint::min()).first->second;
    end = std::max(end, until);
}

void SoakChecker::disturbStore(TimePoint until) { storeDisturbedUntil_ = std::max(storeDisturbedUntil_, until); }

void SoakChecker::disturbAll(TimePoint until)
{
    disturbStore(until);
    for (auto& [balancer, end] : disturbedUntil_)
        end = std::max(end, until);
}

bool SoakChecker::isUndisturbed(const std::string& balancer, TimePoint now) const
{
    const auto own = disturbedUntil_.find(balancer);
    const TimePoint end
        = own == disturbedUntil_.end() ? storeDisturbedUntil_ : std::max(own->second, storeDisturbedUntil_);
    return now >= end + bounds_.settleTime;
}

void SoakChecker::noteConfiguration(const ForwardingConfiguration& configuration, TimePoint now)
{
    versions_.push_back({ configuration, now });
}

void SoakChecker::noteServerDraining(const std::string& server, TimePoint now)
{
    drainingSince_.try_emplace(server, now);
    noteServerLeaving(server);
}

void SoakChecker::noteEntryRewritten(const std::string& server, const std::string& zone, TimePoint now)
{
    if (!drainingSince_.contains(server))
        rewrittenEntries_[server] = { zone, now };
}

bool SoakChecker::allows(const ForwardingConfiguration& configuration, Endpoint route, const std::string& service) const
{
    return std::ranges::any_of(configuration.routes, [&](const FlowRoute& known) {
        return known.address == route
            && std::ranges::any_of(known.shares, [&](const RouteShare& share) { return share.service == service; });
    });
}

void SoakChecker::noteOpening(const SoakOpening& opening, TimePoint now)
{
    ++openings_;
    const auto rewritten = rewrittenEntries_.find(opening.server);
    if (rewritten != rewrittenEntries_.end() && opening.sent > rewritten->second.at)
        rewrittenEntries_.erase(rewritten);
    const auto allowing = std::ranges::find_if(versions_.rbegin(), versions_.rend(),
        [&](const Version& version) { return allows(version.configuration, opening.route, opening.service); });
    if (allowing == versions_.rend()) {
        addViolation(fmt::format(
            "ROUTE: {} of {} took an opening for {}", opening.server, opening.service, opening.route.toString()));
        return;
    }
    if (!isUndisturbed(opening.balancer, now))
        return;
    // std::prev() of a reverse iterator is the next newer version: the first that no longer allowed the opening.
    const bool isSuperseded = allowing != versions_.rbegin();
    if (isSuperseded && opening.sent > std::prev(allowing)->at + bounds_.configuration)
        addViolation(fmt::format(
            "CONFIGURATION: {} took an opening for {}, which version {} no longer allows, through {}", opening.server,
            opening.route.toString(), std::prev(allowing)->configuration.version, opening.balancer));
    const auto draining = drainingSince_.find(opening.server);
    if (draining != drainingSince_.end() && now > draining->second + bounds_.drain)
        addViolation(fmt::format("DRAIN: {} took an opening {} ms after it began to drain, through {}", opening.server,
            millisecondsBetween(draining->second, now), opening.balancer));
    const auto evacuated = evacuatedZones_.find(opening.availabilityZone);
    if (evacuated != evacuatedZones_.end() && now > evacuated->second + bounds_.evacuation)
        addViolation(fmt::format("EMPTIED: {} took an opening {} ms after the evacuation of {}, through {}",
            opening.server, millisecondsBetween(evacuated->second, now), opening.availabilityZone, opening.balancer));
}

void SoakChecker::noteCorruptedPacket(const std::string& where)
{
    addViolation(fmt::format("CHANGED: a corrupted packet reached {}", where));
}

void SoakChecker::noteReset(
    const std::string& flow, const std::string& balancer, bool isOpen, bool isServerAlive, TimePoint)
{
    ++resets_;
    if (isOpen && isServerAlive)
        addViolation(fmt::format("FLOW: open flow {} was reset through {} while its server is alive", flow, balancer));
}

void SoakChecker::noteRequest(bool isServed, const std::string& balancer, Endpoint route, TimePoint sent, TimePoint now)
{
    (isServed ? served_ : unserved_) += 1;
    if (allRestartedAt_ != TimePoint::max() && sent > allRestartedAt_ + bounds_.recovery
        && !switchedOff_.contains(balancer))
        (isServed ? recoveredServed_ : recoveredUnserved_) += 1;
    const bool isKnown = !versions_.empty()
        && std::ranges::any_of(
            versions_.back().configuration.routes, [&](const FlowRoute& known) { return known.address == route; })
        && sent > versions_.back().at + bounds_.configuration;
    if (isKnown && isUndisturbed(balancer, sent) && isUndisturbed(balancer, now))
        (isServed ? undisturbedServed_ : undisturbedUnserved_) += 1;
}

void SoakChecker::noteExit(const std::string& balancer, int code, bool wasExpected)
{
    if (!wasExpected)
        addViolation(fmt::format("EXIT: {} exited unexpectedly with code {}", balancer, code));
    else if (code != 0)
        addViolation(fmt::format("EXIT: {} exited with code {} after a planned stop", balancer, code));
}

void SoakChecker::finish(TimePoint now)
{
    for (const auto& [server, rewritten] : rewrittenEntries_) {
        if (now > rewritten.at + bounds_.rewrittenEntry && !evacuatedZones_.contains(rewritten.zone))
            addViolation(fmt::format("UNUSED: {} took no opening in {} ms since it wrote its overwritten entry again",
                server, millisecondsBetween(rewritten.at, now)));
    }
    // A run with almost no traffic tests nothing.
    if (served_ < minRequests || openings_ < minRequests)
        addViolation(fmt::format("SERVICE: only {} requests were served and {} flows opened", served_, openings_));
    if (undisturbedRequests() >= minRequests && shareOf(undisturbedServed_, undisturbedUnserved_) < minUndisturbedShare)
        addViolation(fmt::format(
            "SERVICE: {} of {} requests were served while undisturbed", undisturbedServed_, undisturbedRequests()));
    if (allRestartedAt_ != TimePoint::max() && recoveredServed_ + recoveredUnserved_ >= minRequests
        && shareOf(recoveredServed_, recoveredUnserved_) < minRecoveredShare)
        addViolation(fmt::format("RECOVER: {} of {} requests were served after all balancers were back",
            recoveredServed_, recoveredServed_ + recoveredUnserved_));
    if (unlistedViolations_ > 0)
        violations_.push_back(fmt::format("and {} more", unlistedViolations_));
}

void SoakChecker::addViolation(std::string text)
{
    if (violations_.size() < maxListedViolations)
        violations_.push_back(std::move(text));
    else
        ++unlistedViolations_;
}

}
