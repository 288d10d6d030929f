#pragma once

#include "Core/EventLog.h"
#include "Forwarder/ForwarderMetrics.h"
#include "Forwarder/MembersLog.h"
#include "Forwarder/TrafficReport.h"
#include "Membership/Membership.h"
#include "Net/Http2Client.h"
#include "Net/Http2Server.h"
#include "News/ReplicaSync.h"
#include "News/StoreFeed.h"
#include "Peers/PeerSocket.h"
#include "Peers/WatcherRole.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// This balancer among the others: runs membership and the exchange of news over datagrams, and answers and sends
// requests for news that is too large for them (HTTP/2). Everything happens on the thread of the io_context.
class PeerSync {
public:
    using Handler = std::function<void(const ReplicaChanged&)>;

    // Fails with Unavailable when the address can't be bound for datagrams or connections. The handler runs for each
    // piece of news, whoever told of it.
    static Result<std::unique_ptr<PeerSync>> open(boost::asio::io_context&, const Member& self,
        std::vector<Endpoint> seeds, std::uint64_t seed, EventLog&, ForwarderMetrics&, Handler,
        ReplicaSyncSettings = {});
    ~PeerSync();
    PeerSync(const PeerSync&) = delete;
    PeerSync& operator=(const PeerSync&) = delete;

    void start(TimePoint now);
    // Call it every 100 to 250 ms.
    void tick(TimePoint now);
    // News that this balancer read from the store.
    void handleStoreDelta(const DeltaReceived&, TimePoint now);
    // A planned stop begins.
    void leave(TimePoint now);
    void setSeeds(std::vector<Endpoint> seeds, TimePoint now);

    // Tells the others whether this balancer, if it is to watch the store, can.
    void noteStoreReachability(bool isUnreachable, TimePoint now);
    // Whether neighbours are asked for everything without waiting for the store.
    void setFetchesImmediately(bool fetchesImmediately) { replicaSync_.setFetchesImmediately(fetchesImmediately); }
    // Whether this balancer is among those that watch the store.
    bool isWatcher(TimePoint now) const;
    const ReplicaSync& replicaSync() const { return replicaSync_; }
    std::size_t members() const { return membership_.view()->members.size(); }
    // Those of this balancer's zone that are alive, itself included.
    std::vector<std::uint32_t> liveBalancersOfZone() const;
    // More balancers may be met at any moment while this is false.
    bool isSettled(TimePoint now) const { return membership_.isSettled(now); }
    std::uint64_t bytesTransferred() const;
    // What of it is for what.
    std::vector<TrafficRow> traffic() const;

private:
    PeerSync(boost::asio::io_context&, const Member& self, std::vector<Endpoint> seeds, std::uint64_t seed, EventLog&,
        ForwarderMetrics&, Handler, ReplicaSyncSettings);

    void receive(const PeerEnvelope&, const Endpoint& sender);
    void answerFetch(const std::shared_ptr<Http2Exchange>&);
    void perform(const MembershipActions&, TimePoint now);
    void perform(const ReplicaSyncActions&, TimePoint now);
    void push(const PushDelta&);
    void fetch(const FetchDelta&);
    void handleFetchOutcome(const std::string& source, const HttpOutcome&);
    void noteFetchProgress(TimePoint now);
    void logLag(TimePoint now);
    void passSeedsToMembership(TimePoint now);

    boost::asio::io_context& context_;
    const Endpoint address_;
    std::vector<Endpoint> seeds_;
    EventLog& log_;
    MembersLog membersLog_;
    ForwarderMetrics& metrics_;
    Handler handler_;
    Membership membership_;
    WatcherRole watcherRole_;
    ReplicaSync replicaSync_;
    std::unique_ptr<PeerSocket> link_;
    std::unique_ptr<Http2Server> server_;
    std::unique_ptr<Http2Client> fetchClient_;
    std::uint64_t announcedRevision_ = 0;
    bool isLeaving_ = false;
    std::uint64_t finishedFetchBytes_ = 0;
    // Bytes of the fetch in progress at the last look.
    std::uint64_t fetchReceivedBytes_ = 0;
    // Whom the fetch in progress asks, and since when; empty when there is none.
    std::string fetchSource_;
    TimePoint fetchSentAt_;
    // Ends of former fetches don't count.
    std::uint64_t fetchNumber_ = 0;
    std::uint64_t fetchesServed_ = 0;
    bool hasLoggedLag_ = false;
};

}
