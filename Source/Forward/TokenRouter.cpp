#include "Forward/TokenRouter.h"

#include "Core/NameTable.h"

#include <utility>

namespace wisteriadock {

namespace {

    constexpr auto verdictNames = makeNameTable<PacketVerdict>({
        { PacketVerdict::Forward, "forward" },
        { PacketVerdict::Reset, "reset" },
        { PacketVerdict::Drop, "drop" },
    });

    constexpr auto reasonNames = makeNameTable<PacketReason>({
        { PacketReason::Opened, "opened" },
        { PacketReason::OpenedAgain, "opened_again" },
        { PacketReason::OpenedElsewhere, "opened_elsewhere" },
        { PacketReason::Established, "established" },
        { PacketReason::ServerEnded, "server_ended" },
        { PacketReason::Overloaded, "overloaded" },
        { PacketReason::PriorityShed, "priority_shed" },
        { PacketReason::NoServer, "no_server" },
        { PacketReason::ColdServersFull, "cold_servers_full" },
        { PacketReason::ZonesEvacuated, "zones_evacuated" },
        { PacketReason::NoRoute, "no_route" },
        { PacketReason::NoConfiguration, "no_configuration" },
        { PacketReason::TokenMissing, "token_missing" },
        { PacketReason::TokenUnknown, "token_unknown" },
        { PacketReason::ForeignAnswer, "foreign_answer" },
    });
    static_assert(verdictNames.rows().size() == packetVerdicts);
    static_assert(reasonNames.rows().size() == packetReasons);

    PacketDecision drop(PacketReason reason)
    {
        PacketDecision decision;
        decision.verdict = PacketVerdict::Drop;
        decision.reason = reason;
        return decision;
    }

}

std::string_view nameOf(PacketVerdict verdict) { return verdictNames.name(verdict); }

std::string_view nameOf(PacketReason reason) { return reasonNames.name(reason); }

TokenRouter::TokenRouter(RouterSettings settings)
    : settings_(std::move(settings))
    , admission_(settings_.admission)
    , overload_(settings_.availabilityZone, settings_.overload, settings_.wallClockOffset)
    , policy_(settings_.availabilityZone, openingLatency_, settings_.opening, settings_.coldStart)
    , directory_(settings_.directory)
    , flows_(directory_)
{
    if (settings_.measuresLoad)
        flows_.measureLoad(routes_, settings_.acknowledgementDelay);
}

bool TokenRouter::applyConfiguration(const ForwardingConfiguration& configuration)
{
    if (configuration.version <= version_)
        return false;
    directory_.addServices(configuration);
    routes_.replace(configuration);
    policy_.setColdStartLimits(configuration.coldStartLimits);
    version_ = configuration.version;
    return true;
}

bool TokenRouter::applyConfiguration(ConfigurationChange&& change)
{
    if (change.version <= version_)
        return false;
    version_ = change.version;
    directory_.addServices(change);
    policy_.setColdStartLimits(std::move(change.coldStartLimits));
    routes_.apply(std::move(change));
    return true;
}

ServerDirectory::Transitions TokenRouter::putServer(
    const RegisteredServer& entry, std::uint64_t revision, TimePoint now, EntryAge age)
{
    return forgetFlowsOfFormerProcesses(directory_.put(entry, revision, now, age), now);
}

ServerDirectory::Transitions TokenRouter::reviewEntries(TimePoint now)
{
    return forgetFlowsOfFormerProcesses(directory_.reviewEntries(now), now);
}

ServerDirectory::Transitions TokenRouter::forgetFlowsOfFormerProcesses(
    ServerDirectory::Transitions&& transitions, TimePoint now)
{
    for (const ServerTransition& transition : transitions) {
        const KnownServer* server = transition.isRestart ? directory_.find(transition.id) : nullptr;
        if (server)
            flows_.forgetFlowsOf(server->token, now);
    }
    return std::move(transitions);
}

ServerDirectory::Transitions TokenRouter::invalidateServer(const std::string& id, std::uint64_t revision, TimePoint now)
{
    return directory_.invalidate(id, revision, now);
}

ServerDirectory::Transitions TokenRouter::removeServer(const std::string& id, bool isUncertain, TimePoint now)
{
    return directory_.remove(id, isUncertain, now);
}

ServerDirectory::Transitions TokenRouter::tick(TimePoint now)
{
    for (FailingChange& change : flows_.tick(now))
        failingChanges_.push_back(std::move(change));
    for (ZoneEvacuationChange& change : evacuatedZones_.tick(now))
        evacuationChanges_.push_back(std::move(change));
    policy_.tick(now);
    ServerDirectory::Transitions transitions = forgetFlowsOfFormerProcesses(directory_.tick(now), now);
    overload_.tick(
        [&](const std::string& service) {
            const ServiceRequirements requirements = routes_.requirementsOf(service);
            return OverloadControl::Inputs { policy_.usableSlots(directory_.groupsOf(service), evacuatedZones_, now),
                requirements.priorities, admission_.refusedShare(service, requirements.targetLatency, now) };
        },
        now);
    return transitions;
}

PacketDecision TokenRouter::route(const TokenPacket& packet, TimePoint now)
{
    if (packet.opens && packet.acknowledges)
        return drop(PacketReason::ForeignAnswer);
    return packet.opens ? routeOpening(packet, now) : routeEstablished(packet, now);
}

PacketDecision TokenRouter::routeOpening(const TokenPacket& packet, TimePoint now)
{
    if (version_ == 0)
        return drop(PacketReason::NoConfiguration);
    const FlowRoute* route = routes_.find(packet.ends.route);
    if (!route)
        return refuse(packet, PacketReason::NoRoute);
    const std::string* service = serviceOf(*route, packet.ends);
    if (!service)
        return refuse(packet, PacketReason::NoServer);

    const FlowRecord* previous = flows_.find(packet.ends);
    PacketDecision decision;
    decision.verdict = PacketVerdict::Forward;
    decision.service = service;
    decision.copies = packet.acknowledgement;
    // Copies are never refused: the flow may already be open at a server that another balancer chose.
    if (!previous && packet.acknowledgement == 0) {
        decision.admission = admit(*route, *service, packet.ends, now);
        if (decision.admission.isRefused) {
            decision.verdict = PacketVerdict::Reset;
            decision.reason = decision.admission.isShed ? PacketReason::PriorityShed : PacketReason::Overloaded;
            return decision;
        }
    }
    if (KnownServer* sameServer = previousServerFor(previous, *service, now)) {
        decision.reason = PacketReason::OpenedAgain;
        decision.server = sameServer;
        if (!previous->isOpen)
            flows_.noteAttempt(packet.ends, *sameServer, packet.acknowledgement, now);
        return decision;
    }
    const KnownServer* ejected = nullptr;
    if (previous && !previous->isOpen) {
        KnownServer* previousServer = directory_.findByToken(previous->token);
        if (previousServer && previousServer->seen.lastProgress < previous->lastAttemptAt
            && policy_.review(*previousServer, now))
            ejected = previousServer;
    }
    const std::string* nearZone = overload_.spillover().zoneOf(*service, hashOf(packet.ends));
    decision.choice
        = policy_.choose(directory_.groupsOf(*service), evacuatedZones_, packet.ends, previous, now, nearZone);
    if (ejected)
        decision.choice.ejected.push_back(ejected);
    if (!decision.choice.server)
        return refuseChoice(packet, decision.choice, previous);
    decision.reason = previous ? PacketReason::OpenedElsewhere : PacketReason::Opened;
    decision.server = decision.choice.server;
    policy_.noteAttempt(*decision.choice.server, evacuatedZones_, !havePacketsWaited_, now);
    if (!havePacketsWaited_)
        flows_.noteAttempt(packet.ends, *decision.choice.server, packet.acknowledgement, now);
    return decision;
}

// While PriorityAdmission knows the load of the service, it decides alone, and answer times only raise its level.
// Otherwise urgent flows would be refused by their answer times before less urgent ones.
Admission TokenRouter::admit(
    const FlowRoute& route, const std::string& service, const FlowEnds& ends, TimePoint now) const
{
    Admission admission;
    if (!overload_.admission().isKnown(service)) {
        admission = admission_.admit(service, route.targetLatency, ends, now);
    } else {
        admission.level = overload_.admission().levelOf(service);
        admission.isShed = overload_.admission().isRefused(service, route.priority, ends.caller, now);
        admission.isRefused = admission.isShed;
    }
    admission.priority = route.priority;
    return admission;
}

// If two servers answer one opening, the caller may combine the token of one with the sequence number of the other, and
// the flow never works. So a copy goes to the same server if the flow is already open there or the server has answered
// any packet since the previous attempt.
KnownServer* TokenRouter::previousServerFor(const FlowRecord* previous, const std::string& service, TimePoint)
{
    KnownServer* server = previous ? directory_.findByToken(previous->token) : nullptr;
    if (!server)
        return nullptr;
    if (previous->isOpen)
        return server;
    const bool isStillEligible = server->mayTakeFlows() && server->entry.service == service
        && !evacuatedZones_.contains(server->entry.availabilityZone);
    const bool hasAnsweredSince = server->seen.lastProgress >= previous->lastAttemptAt;
    return isStillEligible && hasAnsweredSince ? server : nullptr;
}

PacketDecision TokenRouter::routeEstablished(const TokenPacket& packet, TimePoint now)
{
    if (packet.token == 0)
        return drop(PacketReason::TokenMissing);
    KnownServer* server = directory_.findByToken(packet.token);
    if (!server)
        return routeToUnnamed(packet);
    PacketDecision decision;
    decision.server = server;
    if (server->state == ServerState::Ended || isOfFormerProcess(packet, *server)) {
        decision.verdict = packet.resets ? PacketVerdict::Drop : PacketVerdict::Reset;
        decision.reason = PacketReason::ServerEnded;
        return decision;
    }
    decision.verdict = PacketVerdict::Forward;
    decision.reason = PacketReason::Established;
    decision.progress = flows_.noteTraffic(packet, *server, now);
    if (decision.progress.openingTime)
        openingLatency_.note(*decision.progress.openingTime);
    if (decision.progress.answerTime)
        admission_.noteAnswer(server->entry.service, *decision.progress.answerTime, now);
    if (decision.progress.hasAnswered) {
        policy_.noteProgress(*server, now);
        directory_.noteAnswer(*server);
    }
    return decision;
}

// A server ignores packets that are meant for another one, so an entry of another writer does no harm here.
PacketDecision TokenRouter::routeToUnnamed(const TokenPacket& packet) const
{
    const KnownServer* server = directory_.findUnnamed(packet.token);
    if (!server)
        return drop(PacketReason::TokenUnknown);
    PacketDecision decision;
    decision.verdict = PacketVerdict::Forward;
    decision.reason = PacketReason::Established;
    decision.server = server;
    return decision;
}

// If a server changed its service with a restart, flows of its previous process can be reset. They are recognised by
// their route: flows of the new process use routes that send new flows to its service, or did so when they were opened.
bool TokenRouter::isOfFormerProcess(const TokenPacket& packet, const KnownServer& server) const
{
    return server.hasChangedService && !routes_.hasRoutedTo(packet.ends.route, server.entry.service);
}

// Drops the first copies without an answer: an update of the routes or the servers may be on its way, and the caller
// retries by itself. The last copy is answered with a reset, so that the caller need not wait for its own timeout.
PacketDecision TokenRouter::refuse(const TokenPacket& packet, PacketReason reason) const
{
    PacketDecision decision;
    decision.copies = packet.acknowledgement;
    decision.verdict = packet.acknowledgement >= settings_.lastCopy ? PacketVerdict::Reset : PacketVerdict::Drop;
    decision.reason = reason;
    return decision;
}

// Resets the first packet if the reason is certain, that is, evacuated zones or cold servers. Copies are refused as in
// refuse(), since the flow may already be open at a server that another balancer chose.
PacketDecision TokenRouter::refuseChoice(
    const TokenPacket& packet, const OpeningChoice& choice, const FlowRecord* previous) const
{
    const bool isCertain = choice.coldLimited > 0 || choice.evacuated > 0;
    const PacketReason reason = choice.coldLimited > 0 ? PacketReason::ColdServersFull
        : choice.evacuated > 0                         ? PacketReason::ZonesEvacuated
                                                       : PacketReason::NoServer;
    PacketDecision decision = refuse(packet, reason);
    decision.choice = choice;
    if (isCertain && !previous && packet.acknowledgement == 0)
        decision.verdict = PacketVerdict::Reset;
    return decision;
}

}
