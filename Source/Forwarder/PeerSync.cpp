#include "Forwarder/PeerSync.h"

#include "Wire/PeerMessageCodec.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 800 };
    // Limit for a whole answer, even while its bytes keep arriving. ReplicaSync abandons a stalled one sooner.
    constexpr std::chrono::milliseconds fetchTimeout { 4000 };

    // One watcher per zone, since calls to the store are costly and other zones stand in for a lost watcher. At least
    // three in total, so that changes spread while one of them has failed.
    constexpr WatcherCounts watcherCounts { 1, 3, 3 };

    Http2Limits fetchLimits()
    {
        Http2Limits limits;
        limits.bodyBytes = maxDeltaBytes;
        limits.connectTimeout = connectTimeout;
        // All balancers of a large zone may fetch at the same time after a start.
        limits.connections = 256;
        return limits;
    }

    const char* boolName(bool value) { return value ? "true" : "false"; }

}

Result<std::unique_ptr<PeerSync>> PeerSync::open(boost::asio::io_context& context, const Member& self,
    std::vector<Endpoint> seeds, std::uint64_t seed, EventLog& log, ForwarderMetrics& metrics, Handler handler,
    FetchAnswers::OwnZoneFilter isOfOwnZone, ReplicaSyncSettings settings)
{
    std::unique_ptr<PeerSync> peerSync(new PeerSync(
        context, self, std::move(seeds), seed, log, metrics, std::move(handler), std::move(isOfOwnZone), settings));
    PeerSync* target = peerSync.get();
    BOOST_OUTCOME_TRY(link,
        PeerSocket::open(context, self.peerAddress,
            [target](const PeerEnvelope& envelope, const Endpoint& sender) { target->receive(envelope, sender); }));
    peerSync->link_ = std::move(link);
    BOOST_OUTCOME_TRY(server,
        Http2Server::listen(
            context, self.requestAddress, [target](const auto& exchange) { target->answerFetch(exchange); },
            fetchLimits()));
    peerSync->server_ = std::move(server);
    return peerSync;
}

PeerSync::PeerSync(boost::asio::io_context& context, const Member& self, std::vector<Endpoint> seeds,
    std::uint64_t seed, EventLog& log, ForwarderMetrics& metrics, Handler handler,
    FetchAnswers::OwnZoneFilter isOfOwnZone, ReplicaSyncSettings settings)
    : context_(context)
    , address_(self.peerAddress)
    , seeds_(std::move(seeds))
    , log_(log)
    , membersLog_(log)
    , metrics_(metrics)
    , handler_(std::move(handler))
    , membership_({}, self, seed, Clock::now())
    , watcherRole_({ .counts = watcherCounts })
    , replicaSync_(self.availabilityZone, seed, settings)
    , freshness_(self.availabilityZone, seed + 1, { .maxStaleness = settings.maxStaleness })
    , fetchAnswers_(replicaSync_.replica(), std::move(isOfOwnZone))
{
}

PeerSync::~PeerSync()
{
    // The outcome of a fetch that is still open arrives when its client is destroyed, and must be ignored.
    ++fetchNumber_;
}

void PeerSync::start(TimePoint now)
{
    watcherRole_.start(!seeds_.empty(), now);
    membersLog_.start(now);
    passSeedsToMembership(now);
    // Serving from the start: watchers are chosen among serving members, and without a watcher no balancer becomes
    // ready. Routing packets by their tokens needs no state of other balancers.
    perform(membership_.setSelfState(MemberState::Serving, now), now);
    tick(now);
}

void PeerSync::passSeedsToMembership(TimePoint now)
{
    VmListReceived seedList;
    for (const Endpoint& seed : seeds_) {
        if (seed.address != address_.address)
            seedList.vms.push_back({ { seed.address, address_.port }, false });
    }
    perform(membership_.handle(seedList, now), now);
}

void PeerSync::setSeeds(std::vector<Endpoint> seeds, TimePoint now)
{
    seeds_ = std::move(seeds);
    passSeedsToMembership(now);
}

std::vector<std::uint32_t> PeerSync::liveBalancersOfZone() const
{
    const auto view = membership_.view();
    const Member* self = view->findSelf();
    std::vector<std::uint32_t> ids;
    for (const Member& member : view->members) {
        const bool isAlive = member.state != MemberState::Dead && member.state != MemberState::Leaving;
        if (isAlive && self && member.availabilityZone == self->availabilityZone)
            ids.push_back(member.id.value);
    }
    return ids;
}

void PeerSync::tick(TimePoint now)
{
    if (replicaSync_.servedRevision() > announcedRevision_) {
        announcedRevision_ = replicaSync_.servedRevision();
        perform(membership_.setConfigurationVersion(announcedRevision_, now), now);
    }
    perform(membership_.tick(now), now);
    membersLog_.tick(*membership_.view(), membership_.isSettled(now), now);
    noteFetchProgress(now);
    fetchAnswers_.tick(now);
    perform(replicaSync_.tick(now), now);
    logLag(now);
}

void PeerSync::noteFetchProgress(TimePoint now)
{
    const std::uint64_t bytes = fetchClient_ ? fetchClient_->bytesTransferred() : 0;
    if (bytes > fetchReceivedBytes_)
        replicaSync_.noteFetchProgress(now);
    fetchReceivedBytes_ = bytes;
}

void PeerSync::handleStoreDelta(const DeltaReceived& received, TimePoint now)
{
    perform(replicaSync_.handleStoreDelta(received.delta, now, received.isForOthers), now);
}

void PeerSync::leave(TimePoint now)
{
    isLeaving_ = true;
    perform(membership_.leave(now), now);
}

void PeerSync::noteStoreReachability(bool isUnreachable, TimePoint now)
{
    const bool watches = isWatcher(now);
    replicaSync_.setRole(watches, isUnreachable);
    if (!isLeaving_)
        perform(membership_.setSelfState(watches && isUnreachable ? MemberState::Detached : MemberState::Serving, now),
            now);
}

bool PeerSync::isWatcher(TimePoint now) const { return watcherRole_.isWatcher(membership_, now); }

std::vector<TrafficRow> PeerSync::traffic() const
{
    const auto rowOf = [this](std::string_view cause, std::initializer_list<PeerMessageKind> kinds) {
        DatagramTraffic sum;
        for (const PeerMessageKind kind : kinds)
            sum += link_->trafficOf(kind);
        return TrafficRow { cause, sum.sent + sum.received, sum.sentBytes, sum.receivedBytes };
    };
    const std::uint64_t fetchBytes = finishedFetchBytes_ + (fetchClient_ ? fetchClient_->bytesTransferred() : 0);
    std::vector<TrafficRow> rows {
        rowOf(
            "membership", { PeerMessageKind::Heartbeat, PeerMessageKind::ProbeRequest, PeerMessageKind::ProbeResult }),
        rowOf("member_pages", { PeerMessageKind::MembersRequest, PeerMessageKind::MembersPage }),
        rowOf("pushes",
            { PeerMessageKind::ReplicaSync, PeerMessageKind::CompressedReplicaSync, PeerMessageKind::RelayedReplicaSync,
                PeerMessageKind::RevisionRequest, PeerMessageKind::WatcherHeartbeat }),
        { "fetches_asked", fetchNumber_, 0, fetchBytes },
        { "fetches_served", fetchesServed_, server_->bytesTransferred(), 0 },
    };
    if (loadHandler_)
        rows.push_back(rowOf("load", { PeerMessageKind::LoadReport, PeerMessageKind::LoadDigest }));
    return rows;
}

void PeerSync::receive(const PeerEnvelope& envelope, const Endpoint& sender)
{
    const TimePoint now = Clock::now();
    switch (envelope.kind) {
    case PeerMessageKind::ReplicaSync:
    case PeerMessageKind::CompressedReplicaSync:
        if (const auto delta = decodePiece(envelope.payload, envelope.kind == PeerMessageKind::CompressedReplicaSync))
            perform(replicaSync_.handlePush(envelope.sender, delta.value(), now), now);
        break;
    case PeerMessageKind::RelayedReplicaSync:
        receiveRelay(envelope, now);
        break;
    case PeerMessageKind::RevisionRequest:
        handleRevisionRequest(envelope, sender, now);
        break;
    case PeerMessageKind::WatcherHeartbeat:
        receiveHeartbeat(envelope, now);
        break;
    case PeerMessageKind::LoadReport:
    case PeerMessageKind::LoadDigest:
        if (loadHandler_)
            loadHandler_(envelope, now);
        break;
    default:
        perform(membership_.handle(PeerMessageReceived { sender, envelope }, now), now);
        break;
    }
}

void PeerSync::receiveRelay(const PeerEnvelope& envelope, TimePoint now)
{
    auto message = decodeMessage<RelayedDeltaMessage>(envelope.payload);
    if (!message)
        return;
    auto delta = decodePiece(message.value().bytes, message.value().isCompressed);
    if (!delta)
        return;
    const Relay relay = message.value().relay();
    const auto piece = std::make_shared<const DeltaPiece>(
        DeltaPiece { std::move(delta).value(), std::move(message.value().bytes), message.value().isCompressed });
    perform(replicaSync_.handleRelay(relay, piece, now), now);
}

void PeerSync::answerFetch(const std::shared_ptr<Http2Exchange>& exchange)
{
    HttpResponse response = fetchAnswers_.answer(exchange->request(), Clock::now());
    fetchesServed_ += response.status == 200;
    exchange->respond(std::move(response));
}

void PeerSync::perform(const MembershipActions& actions, TimePoint now)
{
    for (const MembershipAction& action : actions) {
        if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
            link_->send(message->to, message->envelope);
            continue;
        }
        const auto& view = std::get<MembersViewChanged>(action).view;
        membersLog_.handleView(*view, membership_.isSettled(now), now);
        freshness_.handleView(view);
        perform(replicaSync_.handleView(view, now), now);
    }
}

void PeerSync::perform(ReplicaSyncActions actions, TimePoint now)
{
    for (ReplicaSyncAction& action : actions) {
        if (const auto* push = std::get_if<PushDelta>(&action)) {
            this->push(*push);
        } else if (const auto* fetch = std::get_if<FetchDelta>(&action)) {
            this->fetch(*fetch);
        } else if (const auto* request = std::get_if<RequestRevision>(&action)) {
            link_->send(request->to,
                { membership_.view()->self, membership_.selfIncarnation(), PeerMessageKind::RevisionRequest, {} });
        } else if (const auto* entered = std::get_if<EraEntered>(&action)) {
            logEra(*entered, now);
        } else if (const auto* refused = std::get_if<DeltaRefused>(&action)) {
            logRefusal(*refused, now);
        } else {
            auto& changed = std::get<ReplicaChanged>(action);
            if (changed.source != "store" && replicaSync_.behindSince())
                metrics_.observeReplicaLag(now - *replicaSync_.behindSince());
            handler_(std::move(changed));
        }
    }
}

void PeerSync::push(const PushDelta& push)
{
    const DeltaPiece& piece = *push.piece;
    PeerEnvelope envelope { membership_.view()->self, membership_.selfIncarnation(),
        piece.isCompressed ? PeerMessageKind::CompressedReplicaSync : PeerMessageKind::ReplicaSync, piece.bytes };
    if (push.relay) {
        const RelayRange range = push.relay->range;
        envelope.kind = PeerMessageKind::RelayedReplicaSync;
        envelope.payload = encodeMessage(
            RelayedDeltaMessage { push.relay->origin.value, range.first, range.last, piece.isCompressed, piece.bytes });
    }
    link_->send(push.to, envelope);
}

void PeerSync::fetch(const FetchDelta& fetch)
{
    const Member* member = membership_.view()->find(fetch.from);
    const std::string source = member ? member->name : "unknown";
    const TimePoint now = Clock::now();
    if (fetchClient_)
        finishedFetchBytes_ += fetchClient_->bytesTransferred();
    metrics_.countFetch("asked");
    if (fetchClient_ && fetchClient_->openRequests() > 0)
        log_.write(LogLevel::Warning, "news", "fetch_given_up",
            Event()
                .add("source", fetchSource_)
                .add("after_ms", now - fetchSentAt_)
                .add("answer_bytes", fetchClient_->bytesTransferred()),
            now);
    fetchSource_ = source;
    fetchSentAt_ = now;
    // Replacing the client below ends the previous request and reports its outcome. It must not count as a failure:
    // that would start another fetch from here, and the number of requests would grow with each one abandoned.
    ++fetchNumber_;
    fetchClient_ = std::make_unique<Http2Client>(context_, fetch.address, fetchLimits());
    fetchReceivedBytes_ = 0;
    fetchClient_->send(
        fetchRequest(fetch), now + fetchTimeout, [this, source, number = fetchNumber_](const HttpOutcome& outcome) {
            if (number == fetchNumber_)
                handleFetchOutcome(source, outcome);
        });
}

void PeerSync::handleFetchOutcome(const std::string& source, const HttpOutcome& outcome)
{
    const TimePoint now = Clock::now();
    const bool isAnswer = outcome && outcome.value().status == 200;
    if (!isAnswer) {
        metrics_.countFetch("no_answer");
        log_.write(LogLevel::Warning, "news", "fetch_failed",
            Event()
                .add("source", source)
                .add("error", outcome ? fmt::format("status {}", outcome.value().status) : outcome.error().detail),
            now);
        perform(replicaSync_.handleFetchFailure(now), now);
        return;
    }
    auto delta = deltaOf(outcome.value());
    if (!delta) {
        metrics_.countFetch("unreadable");
        log_.write(LogLevel::Error, "news", "fetch_unreadable",
            Event().add("source", source).add("error", delta.error().toString()), now);
        perform(replicaSync_.handleFetchFailure(now), now);
        return;
    }
    metrics_.countFetch("ok");
    log_.write(LogLevel::Info, "news", "fetched",
        Event()
            .add("source", source)
            .add("after_ms", now - fetchSentAt_)
            .add("bytes", std::uint64_t(outcome.value().body.size()))
            .add("items", std::uint64_t(delta.value().items.size()))
            .add("patches", std::uint64_t(delta.value().patches.size()))
            .add("from", storeRevisionOf(delta.value().completeFrom()))
            .add("to", storeRevisionOf(delta.value().to))
            .add("era", eraOf(delta.value().to))
            .add("whole", boolName(delta.value().isSnapshot)),
        now);
    perform(replicaSync_.handleAnswer(source, std::move(delta).value(), now), now);
}

}
