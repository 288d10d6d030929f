#pragma once

#include "Core/EventLog.h"
#include "Forwarder/FetchProtocol.h"
#include "Forwarder/ForwarderMetrics.h"
#include "Forwarder/MembersLog.h"
#include "Forwarder/TrafficReport.h"
#include "Membership/Membership.h"
#include "Net/Http2Client.h"
#include "Net/Http2Server.h"
#include "Peers/PeerSocket.h"
#include "Peers/WatcherRole.h"
#include "StoreSync/ReplicaFreshness.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreFeed.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// Connects Membership and ReplicaSync to the network: sends and receives their datagrams, fetches deltas of the store
// from other balancers over HTTP/2, and answers the fetches of others. Forwarder owns it; everything runs on the thread
// of the io_context.
class PeerSync {
public:
    using Handler = std::function<void(ReplicaChanged)>;
    using LoadHandler = std::function<void(const PeerEnvelope&, TimePoint)>;

    // Fails with Unavailable when the address can't be bound for datagrams or connections. The handler is called for
    // each change of the replica, whether it came from the store or from a balancer.
    static Result<std::unique_ptr<PeerSync>> open(boost::asio::io_context&, const Member& self,
        std::vector<Endpoint> seeds, std::uint64_t seed, EventLog&, ForwarderMetrics&, Handler,
        FetchAnswers::OwnZoneFilter, ReplicaSyncSettings = {});
    ~PeerSync();
    PeerSync(const PeerSync&) = delete;
    PeerSync& operator=(const PeerSync&) = delete;

    void start(TimePoint now);
    // Must be called at least every MembershipSettings::maxTickPeriod().
    void tick(TimePoint now);
    // A delta that this balancer read from the store.
    void handleStoreDelta(const DeltaReceived&, TimePoint now);
    // Begins a planned stop and announces it to the other balancers.
    void leave(TimePoint now);
    void setSeeds(std::vector<Endpoint> seeds, TimePoint now);

    // While this balancer is a watcher and the store is unreachable, the others see it as Detached.
    void noteStoreReachability(bool isUnreachable, TimePoint now);
    // See ReplicaSync::handleApplied().
    void handleApplied(TimePoint now) { perform(replicaSync_.handleApplied(), now); }
    // See ReplicaSync::setFetchesImmediately().
    void setFetchesImmediately(bool fetchesImmediately) { replicaSync_.setFetchesImmediately(fetchesImmediately); }
    // The handler is called with load reports and digests. Without one they are ignored.
    void setLoadHandler(LoadHandler handler) { loadHandler_ = std::move(handler); }
    void send(const Endpoint& to, PeerMessageKind kind, std::vector<std::uint8_t> payload)
    {
        link_->send(to, { membership_.view()->self, membership_.selfIncarnation(), kind, std::move(payload) });
    }
    std::shared_ptr<const MembersView> view() const { return membership_.view(); }
    // Whether this balancer is one of those that watch the store for the others.
    bool isWatcher(TimePoint now) const;
    const ReplicaSync& replicaSync() const { return replicaSync_; }
    // See ReplicaFreshness::tick(). Returns a question for the store, whose outcome is passed to handleStoreAnswer().
    std::optional<AskStore> tickFreshness(bool isWatcher, const StoreContact&, TimePoint now);
    void handleStoreAnswer(bool isAnswered, TimePoint now);
    const ReplicaFreshness& freshness() const { return freshness_; }
    // Number of balancers in the view, this one included.
    std::size_t members() const { return membership_.view()->members.size(); }
    // Ids of the live balancers of this balancer's availability zone, its own included.
    std::vector<std::uint32_t> liveBalancersOfZone() const;
    // False while other balancers are still being discovered.
    bool isSettled(TimePoint now) const { return membership_.isSettled(now); }
    // Bytes of datagrams, of fetches served, and of fetches sent before the one in progress.
    std::uint64_t bytesTransferred() const
    {
        return link_->bytesTransferred() + server_->bytesTransferred() + finishedFetchBytes_;
    }
    // Messages and bytes by cause, those of the fetch in progress included.
    std::vector<TrafficRow> traffic() const;

private:
    PeerSync(boost::asio::io_context&, const Member& self, std::vector<Endpoint> seeds, std::uint64_t seed, EventLog&,
        ForwarderMetrics&, Handler, FetchAnswers::OwnZoneFilter, ReplicaSyncSettings);

    void receive(const PeerEnvelope&, const Endpoint& sender);
    void receiveRelay(const PeerEnvelope&, TimePoint now);
    void handleRevisionRequest(const PeerEnvelope&, const Endpoint& sender, TimePoint now);
    void receiveHeartbeat(const PeerEnvelope&, TimePoint now);
    void answerFetch(const std::shared_ptr<Http2Exchange>&);
    void perform(const MembershipActions&, TimePoint now);
    void perform(ReplicaSyncActions, TimePoint now);
    void perform(const ReplicaFreshnessActions&, TimePoint now);
    void push(const PushDelta&);
    void fetch(const FetchDelta&);
    void handleFetchOutcome(const std::string& source, const HttpOutcome&);
    void noteFetchProgress(TimePoint now);
    void logLag(TimePoint now);
    void logEra(const EraEntered&, TimePoint now);
    void logRefusal(const DeltaRefused&, TimePoint now);
    void passSeedsToMembership(TimePoint now);

    boost::asio::io_context& context_;
    const Endpoint address_;
    std::vector<Endpoint> seeds_;
    EventLog& log_;
    MembersLog membersLog_;
    ForwarderMetrics& metrics_;
    Handler handler_;
    LoadHandler loadHandler_;
    Membership membership_;
    WatcherRole watcherRole_;
    ReplicaSync replicaSync_;
    ReplicaFreshness freshness_;
    FetchAnswers fetchAnswers_;
    std::unique_ptr<PeerSocket> link_;
    std::unique_ptr<Http2Server> server_;
    std::unique_ptr<Http2Client> fetchClient_;
    // The revision that membership announces to the others.
    std::uint64_t announcedRevision_ = 0;
    bool isLeaving_ = false;
    // Bytes of all fetches before the one in progress.
    std::uint64_t finishedFetchBytes_ = 0;
    // Bytes of the fetch in progress at the last tick.
    std::uint64_t fetchReceivedBytes_ = 0;
    // Name of the balancer that the last fetch was sent to, and when.
    std::string fetchSource_;
    TimePoint fetchSentAt_;
    // Counts the fetches sent. Outcomes of all but the last are ignored.
    std::uint64_t fetchNumber_ = 0;
    std::uint64_t fetchesServed_ = 0;
    bool hasLoggedLag_ = false;
};

}
