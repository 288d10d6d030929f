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
        { PacketReason::NoServer, "no_server" },
        { PacketReason::ColdServersFull, "cold_servers_full" },
        { PacketReason::ZonesEvacuated, "zones_emptied" },
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
    , policy_(settings_.availabilityZone, openingLatency_, settings_.opening, settings_.coldStart)
    , directory_(settings_.directory)
    , flows_(directory_)
{
}

bool TokenRouter::applyConfiguration(const ForwardingConfiguration& configuration)
{
    if (configuration.version <= version_)
        return false;
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
    policy_.setColdStartLimits(std::move(change.coldStartLimits));
    routes_.apply(std::move(change));
    return true;
}

ServerDirectory::Transitions TokenRouter::putServer(
    const RegisteredServer& entry, std::uint64_t revision, TimePoint now)
{
    ServerDirectory::Transitions transitions = directory_.put(entry, revision, now);
    for (const ServerTransition& transition : transitions) {
        if (transition.isRestart)
            flows_.forgetFlowsOf(tokenOf(entry.number));
    }
    return transitions;
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
    policy_.tick(now);
    return directory_.tick(now);
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

    const FlowRecord* former = flows_.find(packet.ends);
    PacketDecision decision;
    decision.verdict = PacketVerdict::Forward;
    decision.service = service;
    decision.copies = packet.acknowledgement;
    // Copies are never refused: the flow may be open at a server that another balancer chose.
    if (!former && packet.acknowledgement == 0) {
        decision.admission = admission_.admit(*service, route->targetLatency, packet.ends, now);
        if (decision.admission.isRefused) {
            decision.verdict = PacketVerdict::Reset;
            decision.reason = PacketReason::Overloaded;
            return decision;
        }
    }
    if (KnownServer* again = formerServerFor(former, *service, now)) {
        decision.reason = PacketReason::OpenedAgain;
        decision.server = again;
        if (!former->isOpen)
            flows_.noteAttempt(packet.ends, *again, packet.acknowledgement, now);
        return decision;
    }
    const KnownServer* ejected = nullptr;
    if (former && !former->isOpen) {
        KnownServer* silent = directory_.findByToken(former->token);
        if (silent && silent->seen.lastProgress < former->lastAttemptAt && policy_.review(*silent, now))
            ejected = silent;
    }
    decision.choice = policy_.choose(directory_.serversOf(*service), evacuatedZones_, packet.ends, former, now);
    if (ejected)
        decision.choice.ejected.push_back(ejected);
    if (!decision.choice.server)
        return refuseChoice(packet, decision.choice, former);
    decision.reason = former ? PacketReason::OpenedElsewhere : PacketReason::Opened;
    decision.server = decision.choice.server;
    policy_.noteAttempt(*decision.choice.server, evacuatedZones_, now);
    flows_.noteAttempt(packet.ends, *decision.choice.server, packet.acknowledgement, now);
    return decision;
}

// Two servers that both answer one opening leave the caller with the token of one and the sequence of the other, and
// the flow never works. So a copy goes to the same server for as long as that one gives signs of life, or the flow is
// open there already and the copy was only late.
KnownServer* TokenRouter::formerServerFor(const FlowRecord* former, const std::string& service, TimePoint)
{
    KnownServer* server = former ? directory_.findByToken(former->token) : nullptr;
    if (!server)
        return nullptr;
    if (former->isOpen)
        return server;
    const bool isStillRight = server->mayTakeFlows() && server->entry.service == service
        && !evacuatedZones_.contains(server->entry.availabilityZone);
    const bool hasLivedSince = server->seen.lastProgress >= former->lastAttemptAt;
    return isStillRight && hasLivedSince ? server : nullptr;
}

PacketDecision TokenRouter::routeEstablished(const TokenPacket& packet, TimePoint now)
{
    if (packet.token == 0)
        return drop(PacketReason::TokenMissing);
    KnownServer* server = directory_.findByToken(packet.token);
    if (!server)
        return drop(PacketReason::TokenUnknown);
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
    if (decision.progress.hasAnswered)
        policy_.noteProgress(*server, now);
    return decision;
}

// The former process of a server that changed its service with a restart is proven to be over, so the caller may be
// told. Flows of the new process come by routes that lead to its service, or did when they were opened.
bool TokenRouter::isOfFormerProcess(const TokenPacket& packet, const KnownServer& server) const
{
    return server.hasChangedService && !routes_.hasRoutedTo(packet.ends.route, server.entry.service);
}

// The first copies are answered with silence: news of a route or a server may be on its way, and the caller asks again
// by itself. With its last copy it is told at once, instead of being left to wait for its own time limit.
PacketDecision TokenRouter::refuse(const TokenPacket& packet, PacketReason reason) const
{
    PacketDecision decision;
    decision.copies = packet.acknowledgement;
    decision.verdict = packet.acknowledgement >= settings_.lastCopy ? PacketVerdict::Reset : PacketVerdict::Drop;
    decision.reason = reason;
    return decision;
}

// What certainly can't be served is refused with the first packet. A copy may belong to a flow that another balancer
// opened before, so it is refused as late as any other that finds no server.
PacketDecision TokenRouter::refuseChoice(
    const TokenPacket& packet, const OpeningChoice& choice, const FlowRecord* former) const
{
    const bool isCertain = choice.coldLimited > 0 || choice.evacuated > 0;
    const PacketReason reason = choice.coldLimited > 0 ? PacketReason::ColdServersFull
        : choice.evacuated > 0                         ? PacketReason::ZonesEvacuated
                                                       : PacketReason::NoServer;
    PacketDecision decision = refuse(packet, reason);
    decision.choice = choice;
    if (isCertain && !former && packet.acknowledgement == 0)
        decision.verdict = PacketVerdict::Reset;
    return decision;
}

}
