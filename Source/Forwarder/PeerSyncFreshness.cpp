// PeerSync: how old the replica is.
#include "Forwarder/PeerSync.h"

#include "Wire/PeerMessageCodec.h"

#include <utility>

namespace wisteriadock {

std::optional<AskStore> PeerSync::tickFreshness(bool isWatcher, const StoreContact& contact, TimePoint now)
{
    const ReplicaFreshnessActions actions
        = freshness_.tick(replicaSync_.replica().completeTo(), isWatcher, contact, now);
    perform(actions, now);
    for (const ReplicaFreshnessAction& action : actions) {
        if (const auto* question = std::get_if<AskStore>(&action))
            return *question;
    }
    return std::nullopt;
}

void PeerSync::handleStoreAnswer(bool isAnswered, TimePoint now)
{
    perform(freshness_.handleStoreAnswer(isAnswered, replicaSync_.replica().completeTo(), now), now);
}

void PeerSync::handleRevisionRequest(const PeerEnvelope& envelope, const Endpoint& sender, TimePoint now)
{
    if (!envelope.payload.empty() && freshness_.isEnabled())
        perform(freshness_.handleRequest(sender, now), now);
    else
        perform(replicaSync_.handleRevisionRequest(envelope.sender, sender), now);
}

void PeerSync::receiveHeartbeat(const PeerEnvelope& envelope, TimePoint now)
{
    if (const auto heartbeat = decodeMessage<WatcherHeartbeat>(envelope.payload))
        perform(freshness_.handleHeartbeat(envelope.sender, heartbeat.value(), now), now);
}

void PeerSync::perform(const ReplicaFreshnessActions& actions, TimePoint now)
{
    const auto send = [this](const Endpoint& to, PeerMessageKind kind, std::vector<std::uint8_t> payload) {
        link_->send(to, { membership_.view()->self, membership_.selfIncarnation(), kind, std::move(payload) });
    };
    for (const ReplicaFreshnessAction& action : actions) {
        if (const auto* message = std::get_if<SendHeartbeat>(&action))
            send(message->to, PeerMessageKind::WatcherHeartbeat, encodeMessage(message->heartbeat));
        else if (const auto* peer = std::get_if<AskPeer>(&action))
            send(peer->to, PeerMessageKind::RevisionRequest, encodeMessage(StalenessRequest()));
        else if (const auto* heard = std::get_if<RevisionHeard>(&action))
            perform(replicaSync_.handleRevision(heard->sender, heard->revision, heard->isAnswer, now), now);
        else if (const auto* stale = std::get_if<ReplicaStale>(&action))
            log_.write(LogLevel::Warning, "replica", "stale",
                Event()
                    .add("revision", storeRevisionOf(replicaSync_.replica().completeTo()))
                    .add("age_ms", stale->age)
                    .add("heartbeat_ms", stale->sinceHeartbeat)
                    .add("watcher_detached", stale->isWatcherDetached),
                now);
        else if (const auto* fresh = std::get_if<ReplicaFresh>(&action))
            log_.write(LogLevel::Info, "replica", "fresh",
                Event()
                    .add("revision", storeRevisionOf(replicaSync_.replica().completeTo()))
                    .add("stale_ms", fresh->staleFor),
                now);
    }
}

}
