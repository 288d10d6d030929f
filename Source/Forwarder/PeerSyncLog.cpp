// PeerSync: what it logs of the replica.
#include "Forwarder/PeerSync.h"

#include <utility>

namespace wisteriadock {

namespace {

    // A longer lag behind other balancers is logged.
    constexpr std::chrono::milliseconds lagWarningThreshold { 1000 };

}

void PeerSync::logLag(TimePoint now)
{
    const auto since = replicaSync_.behindSince();
    if (!since || now - *since < lagWarningThreshold) {
        hasLoggedLag_ = hasLoggedLag_ && since;
        return;
    }
    if (std::exchange(hasLoggedLag_, true))
        return;
    log_.write(LogLevel::Warning, "news", "behind",
        Event()
            .add("revision", storeRevisionOf(replicaSync_.replica().completeTo()))
            .add("newest", storeRevisionOf(replicaSync_.newestPeerRevision()))
            .add("newest_era", eraOf(replicaSync_.newestPeerRevision()))
            .add("behind_ms", now - *since)
            .add("asking", fetchSource_)
            .add("answer_bytes", fetchReceivedBytes_),
        now);
}

void PeerSync::logRefusal(const DeltaRefused& refused, TimePoint now)
{
    metrics_.countRefusedDelta(nameOf(refused.reason));
    log_.write(LogLevel::Warning, "news", "delta_refused",
        Event()
            .add("reason", nameOf(refused.reason))
            .add("source", refused.source)
            .add("revision", storeRevisionOf(refused.revision))
            .add("era", eraOf(refused.revision))
            .add("held_revision", storeRevisionOf(refused.heldRevision))
            .add("held_era", eraOf(refused.heldRevision)),
        now);
}

void PeerSync::logEra(const EraEntered& entered, TimePoint now)
{
    log_.write(LogLevel::Warning, "news", "era_entered",
        Event()
            .add("source", entered.source)
            .add("former_era", eraOf(entered.formerRevision))
            .add("era", eraOf(entered.revision))
            .add("former_revision", storeRevisionOf(entered.formerRevision))
            .add("revision", storeRevisionOf(entered.revision))
            .add("changed", std::uint64_t(entered.changes)),
        now);
}

}
