#include "Forwarder/ForwarderLog.h"

#include "KeyValue/StoreRevision.h"

#include <algorithm>
#include <map>

namespace wisteriadock {

namespace {

    LogLevel levelOf(const PacketDecision& decision)
    {
        if (decision.reason == PacketReason::Established)
            return LogLevel::Debug;
        return decision.verdict == PacketVerdict::Forward ? LogLevel::Info : LogLevel::Warning;
    }

    std::string_view eventOf(const ServerTransition& transition)
    {
        return transition.isRestart ? "restarted" : nameOf(transition.after);
    }

    // Negative when time is unset.
    double millisecondsSince(TimePoint time, TimePoint now)
    {
        return time == TimePoint::min() ? -1.0 : std::chrono::duration<double, std::milli>(now - time).count();
    }

}

std::string flowName(const FlowEnds& ends) { return ends.caller.toString() + ">" + ends.route.toString(); }

void ForwarderLog::packet(const TokenPacket& packet, const PacketDecision& decision, std::string_view requestId,
    std::uint64_t configurationVersion, std::uint64_t revision, TimePoint now)
{
    const LogLevel level = levelOf(decision);
    const std::string_view reason = nameOf(decision.reason);
    if (level < log_.level() || !log_.admits("flow", reason, now))
        return;
    Event event;
    event.add("flow", flowName(packet.ends)).add("verdict", nameOf(decision.verdict));
    if (packet.opens)
        event.add("copies", decision.copies);
    else
        event.add("token", packet.token);
    if (!requestId.empty())
        event.add("request", requestId);
    event.add("configuration_version", configurationVersion).add("revision", storeRevisionOf(revision));
    if (decision.service)
        event.add("service", *decision.service);
    if (const KnownServer* server = decision.server) {
        event.add("server", server->entry.id).add("server_zone", server->entry.availabilityZone);
        event.add("server_state", nameOf(server->state)).add("server_revision", storeRevisionOf(server->revision));
        event.add("silent_ms", millisecondsSince(server->seen.lastProgress, now));
        event.add("flows", server->seen.flows).add("busy", server->seen.busy);
    }
    if (decision.admission.isRefused && !decision.admission.isShed)
        event.add("answer_ms", decision.admission.answerTime);
    if (decision.admission.isShed)
        event.add("level", static_cast<double>(decision.admission.level)).add("priority", decision.admission.priority);
    if (decision.choice.evacuated > 0)
        event.add("evacuated", decision.choice.evacuated);
    if (decision.choice.server) {
        event.add("load", static_cast<double>(decision.choice.load)).add("eligible", decision.choice.eligible);
        event.add("failing", static_cast<double>(decision.choice.failingShare));
        event.add("unresponsive", decision.choice.unresponsive).add("trial", decision.choice.isTrial);
        event.add("last_resort", decision.choice.isLastResort);
    }
    log_.writeAdmitted(level, "flow", reason, event, now);
}

void ForwarderLog::progress(
    const TokenPacket& packet, const PacketDecision& decision, std::string_view requestId, TimePoint now)
{
    const FlowProgress& progress = decision.progress;
    const bool isSlow = progress.answerTime && *progress.answerTime > slowAnswerThreshold;
    const bool isRequest = progress.beginsRequest || (progress.mayBeRequestHead && !requestId.empty());
    if (!isRequest && !progress.isRetransmission && !isSlow)
        return;
    const char* name = isRequest ? "request" : progress.isRetransmission ? "repeated" : "answered_late";
    const LogLevel level = isRequest ? LogLevel::Info : LogLevel::Warning;
    if (level < log_.level() || !log_.admits("flow", name, now))
        return;
    const KnownServer& server = *decision.server;
    Event event;
    event.add("flow", flowName(packet.ends));
    if (!requestId.empty())
        event.add("request", requestId);
    event.add("server", server.entry.id).add("server_state", nameOf(server.state));
    event.add("silent_ms", millisecondsSince(server.seen.lastProgress, now));
    event.add("flows", server.seen.flows).add("busy", server.seen.busy);
    if (progress.answerTime)
        event.add("former_answer_ms", *progress.answerTime);
    log_.writeAdmitted(level, "flow", name, event, now);
}

void ForwarderLog::malformed(std::size_t bytes, const Endpoint& sender, TimePoint now)
{
    if (!log_.admits("flow", "malformed", now))
        return;
    log_.writeAdmitted(LogLevel::Warning, "flow", "malformed",
        Event().add("bytes", std::uint64_t(bytes)).add("sender", sender.toString()), now);
}

void ForwarderLog::transitions(
    const ServerDirectory::Transitions& transitions, std::uint64_t revision, const std::string& source, TimePoint now)
{
    std::map<std::string_view, std::vector<const ServerTransition*>> byEvent;
    for (const ServerTransition& transition : transitions)
        byEvent[eventOf(transition)].push_back(&transition);
    for (const auto& [event, group] : byEvent) {
        if (group.size() > maxSeparateLines)
            transitionSummary(group, revision, source, now);
        else
            for (const ServerTransition* one : group)
                transition(*one, revision, source, now);
    }
}

void ForwarderLog::transitionSummary(
    const std::vector<const ServerTransition*>& group, std::uint64_t revision, const std::string& source, TimePoint now)
{
    constexpr std::size_t maxNames = 4;
    std::string names;
    for (std::size_t i = 0; i < maxNames; ++i)
        names += (i == 0 ? "" : ",") + group[i]->id;
    const auto newServers
        = std::ranges::count_if(group, [](const ServerTransition* transition) { return transition->isNew; });
    log_.write(LogLevel::Info, "server", "many",
        Event()
            .add("became", eventOf(*group.front()))
            .add("servers", std::uint64_t(group.size()))
            .add("unknown_before", std::uint64_t(newServers))
            .add("among", names)
            .add("revision", storeRevisionOf(revision))
            .add("source", source),
        now);
}

void ForwarderLog::transition(
    const ServerTransition& transition, std::uint64_t revision, const std::string& source, TimePoint now)
{
    log_.write(LogLevel::Info, "server", eventOf(transition),
        Event()
            .add("server", transition.id)
            .add("service", transition.service)
            .add("server_zone", transition.availabilityZone)
            .add("before", transition.isNew ? "unknown" : nameOf(transition.before))
            .add("revision", storeRevisionOf(revision))
            .add("source", source),
        now);
}

void ForwarderLog::configuration(const ReceivedConfiguration& received, const ReplicaChanged& changed, TimePoint now)
{
    log_.write(LogLevel::Info, "configuration", received.isApplied ? "taken" : "older_ignored",
        Event()
            .add("version", received.version)
            .add("routes", std::uint64_t(received.routes))
            .add("changed", std::uint64_t(received.changedRoutes))
            .add("revision", storeRevisionOf(received.revision))
            .add("source", changed.source)
            .add("age_ms", Duration(received.age))
            .add("behind_ms", changed.lag)
            .add("read_ms", received.applyTime),
        now);
}

void ForwarderLog::rejectedUpdate(const std::string& key, const Error& error, TimePoint now)
{
    if (!log_.admits("news", "refused", now))
        return;
    log_.writeAdmitted(LogLevel::Error, "news", "refused", Event().add("key", key).add("error", error.toString()), now);
}

void ForwarderLog::entryConflicts(const std::vector<EntryConflict>& conflicts, TimePoint now)
{
    for (const EntryConflict& conflict : conflicts) {
        if (!log_.admits("server", "entry_conflict", now))
            return;
        log_.writeAdmitted(LogLevel::Warning, "server", "entry_conflict",
            Event()
                .add("entry", conflict.id)
                .add("server", conflict.server)
                .add("reason", nameOf(conflict.reason))
                .add("outcome", nameOf(conflict.outcome))
                .add("service", conflict.service)
                .add("revision", storeRevisionOf(conflict.revision)),
            now);
    }
}

void ForwarderLog::updates(const ReplicaChanged& changed, TimePoint now)
{
    log_.write(LogLevel::Debug, "news", "taken",
        Event()
            .add("source", changed.source)
            .add("items", std::uint64_t(changed.items.size()))
            .add("revision", storeRevisionOf(changed.revision))
            .add("in_doubt", changed.isInDoubt),
        now);
}

void ForwarderLog::ejected(const KnownServer& server, TimePoint now)
{
    log_.write(LogLevel::Warning, "server", "ejected",
        Event()
            .add("server", server.entry.id)
            .add("service", server.entry.service)
            .add("failures", server.seen.failures)
            .add("silent_ms", millisecondsSince(server.seen.lastProgress, now))
            .add("for_ms", server.seen.ejectedUntil - now),
        now);
}

void ForwarderLog::recovered(const KnownServer& server, TimePoint now)
{
    log_.write(LogLevel::Info, "server", "recovered",
        Event().add("server", server.entry.id).add("service", server.entry.service), now);
}

void ForwarderLog::changes(TokenRouter& router, TimePoint now)
{
    entryConflicts(router.directory().takeConflicts(), now);
    for (const FailingChange& change : router.takeFailingChanges())
        failingChange(change, now);
    for (const ZoneReachabilityChange& change : router.takeZoneChanges())
        zoneReachability(change, now);
    for (const GroupLivenessChange& change : router.takeGroupChanges())
        groupLiveness(change, now);
    for (const ZoneEvacuationChange& change : router.takeEvacuationChanges())
        zoneEvacuation(change, std::chrono::milliseconds(0), "time", now);
    for (const SpilloverChange& change : router.takeSpilloverChanges())
        spillover(change, now);
    for (const ShedLevelChange& change : router.takeShedLevelChanges())
        shedLevel(change, now);
}

void ForwarderLog::spillover(const SpilloverChange& change, TimePoint now)
{
    log_.write(change.share > 0 ? LogLevel::Warning : LogLevel::Info, "overload", "spillover",
        Event()
            .add("service", change.service)
            .add("zone", change.availabilityZone)
            .add("share", static_cast<double>(change.share))
            .add("demand", static_cast<double>(change.demand)),
        now);
}

void ForwarderLog::shedLevel(const ShedLevelChange& change, TimePoint now)
{
    log_.write(change.level > 0 ? LogLevel::Warning : LogLevel::Info, "overload", "shed_level",
        Event()
            .add("service", change.service)
            .add("level", static_cast<double>(change.level))
            .add("demand", static_cast<double>(change.demand))
            .add("slots", static_cast<double>(change.slots)),
        now);
}

void ForwarderLog::failingChange(const FailingChange& change, TimePoint now)
{
    log_.write(change.isFailing ? LogLevel::Warning : LogLevel::Info, "server",
        change.isFailing ? "unanswered" : "answers",
        Event()
            .add("server", change.server)
            .add("service", change.service)
            .add("failing", static_cast<double>(change.share)),
        now);
}

void ForwarderLog::zoneReachability(const ZoneReachabilityChange& change, TimePoint now)
{
    log_.write(change.hasRecovered ? LogLevel::Info : LogLevel::Warning, "zone",
        change.hasRecovered ? "recovered" : "ejected",
        Event().add("zone", change.availabilityZone).add("failures", change.failures), now);
}

void ForwarderLog::groupLiveness(const GroupLivenessChange& change, TimePoint now)
{
    log_.write(change.hasRecovered ? LogLevel::Info : LogLevel::Warning, "servers",
        change.hasRecovered ? "recovered" : "ejected",
        Event()
            .add("service", change.service)
            .add("zone", change.availabilityZone)
            .add("unresponsive", change.unresponsive)
            .add("of", change.servers)
            .add("failures", change.failures),
        now);
}

void ForwarderLog::zoneEvacuation(
    const ZoneEvacuationChange& change, std::chrono::milliseconds age, const std::string& source, TimePoint now)
{
    Event event;
    event.add("zone", change.availabilityZone)
        .add("revision", storeRevisionOf(change.revision))
        .add("source", source)
        .add("age_ms", Duration(age));
    if (!change.isEvacuated)
        event.add("in_force_ms", change.inForceFor);
    log_.write(LogLevel::Info, "zone", change.isEvacuated ? "evacuated" : "evacuation_revoked", event, now);
}

}
