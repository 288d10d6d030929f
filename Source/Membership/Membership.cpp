#include "Membership/Membership.h"

#include "Membership/MembersPages.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::size_t maxRelayedProbes = 32;
    // The most ids in one request for details.
    constexpr std::size_t maxNamedIds = 8;
    // Up to this many missing members are left to the anti-entropy rows.
    constexpr std::size_t maxMissingWithoutCatchUp = 3;
    // A gap is large if more than one in this many of the known members is missing.
    constexpr std::size_t largeGapDivisor = 64;

    // Nonces have a resolution of milliseconds, so all times of the protocol are rounded down to it.
    TimePoint floorToMilliseconds(TimePoint now) { return std::chrono::floor<std::chrono::milliseconds>(now); }

}

Membership::Membership(const MembershipSettings& settings, const Member& self, std::uint64_t seed, TimePoint now)
    : settings_(settings)
    , random_(seed)
    , table_(settings_, self, floorToMilliseconds(now))
    , failureDetector_(settings_, table_)
    , nonces_(self.incarnation, floorToMilliseconds(now))
    , isolationDetector_(settings_, floorToMilliseconds(now))
    , catchUp_(settings_.pageTimeout)
    , startedAt_(floorToMilliseconds(now))
    , nextInterval_(floorToMilliseconds(now))
    , lastCatchUp_(floorToMilliseconds(now))
    , lastNewMemberAt_(floorToMilliseconds(now))
    , view_(table_.publish(1, true))
{
}

MembershipActions Membership::handle(const PeerMessageReceived& event, TimePoint time)
{
    const TimePoint now = floorToMilliseconds(time);
    recoverIfPaused(now);
    const PeerEnvelope& envelope = event.envelope;
    if (envelope.sender == table_.self().member.id)
        return finish(now, false);
    if (envelope.kind == PeerMessageKind::Heartbeat) {
        if (const auto message = decodeMessage<HeartbeatMessage>(envelope.payload))
            onHeartbeat(event.from, envelope, message.value(), now);
        return finish(now, false);
    }
    // Other messages are accepted only from live members of the same incarnation.
    const MemberRecord* const sender = table_.find(envelope.sender);
    if (!sender || !sender->isAlive() || sender->member.incarnation != envelope.senderIncarnation)
        return finish(now, false);
    if (envelope.kind == PeerMessageKind::ProbeRequest) {
        if (const auto message = decodeMessage<ProbeRequestMessage>(envelope.payload))
            onProbeRequest(*sender, message.value(), now);
    } else if (envelope.kind == PeerMessageKind::ProbeResult) {
        if (const auto message = decodeMessage<ProbeResultMessage>(envelope.payload))
            onProbeResult(message.value(), now);
    } else if (envelope.kind == PeerMessageKind::MembersRequest) {
        if (const auto message = decodeMessage<MembersRequestMessage>(envelope.payload))
            onMembersRequest(*sender, message.value());
    } else if (envelope.kind == PeerMessageKind::MembersPage) {
        if (const auto message = decodeMessage<MembersPageMessage>(envelope.payload))
            onMembersPage(*sender, message.value(), now);
    }
    return finish(now, false);
}

MembershipActions Membership::handle(const VmListReceived& event, TimePoint time)
{
    const TimePoint now = floorToMilliseconds(time);
    recoverIfPaused(now);
    std::vector<Endpoint> known = table_.aliveAddresses();
    std::sort(known.begin(), known.end());
    std::vector<Endpoint> leaving;
    unknownAddresses_.clear();
    for (const ListedVm& vm : event.vms) {
        if (vm.peerAddress.isSet() && !std::binary_search(known.begin(), known.end(), vm.peerAddress))
            (vm.isLeaving ? leaving : unknownAddresses_).push_back(vm.peerAddress);
    }
    // Leaving VMs are contacted only if there are no others, since the list may be stale.
    if (unknownAddresses_.empty())
        unknownAddresses_ = std::move(leaving);
    return finish(now, false);
}

MembershipActions Membership::tick(TimePoint time)
{
    const TimePoint now = floorToMilliseconds(time);
    recoverIfPaused(now);
    isolationDetector_.onTick(now);
    for (const DetectorEvent& event : failureDetector_.tick(now))
        handleDetectorEvent(event, now);
    const bool isIntervalDue = now >= nextInterval_;
    if (isIntervalDue)
        beginInterval(now);
    else if (isNewcomer(now) && table_.othersAlive() == 0 && now >= nextNewcomerContact_)
        contactUnknown(1, now);
    else if (isJoining(now) && !isMesh() && now >= nextJoiningProbes_)
        probeToJoin(now);
    return finish(now, isIntervalDue);
}

MembershipActions Membership::setSelfState(MemberState state, TimePoint now)
{
    table_.setSelfState(state);
    return finish(floorToMilliseconds(now), false);
}

MembershipActions Membership::setConfigurationVersion(std::uint64_t version, TimePoint now)
{
    table_.setConfigurationVersion(version);
    return finish(floorToMilliseconds(now), false);
}

MembershipActions Membership::leave(TimePoint time)
{
    const TimePoint now = floorToMilliseconds(time);
    table_.setSelfState(MemberState::Leaving);
    for (const BalancerId id : sampleAlive(std::max(settings_.leaveFanOut, settings_.meshLimit))) {
        const MemberRecord* const peer = table_.find(id);
        sendHeartbeat(peer->member.peerAddress, peer, {}, now);
    }
    return finish(now, false);
}

void Membership::onHeartbeat(
    const Endpoint& from, const PeerEnvelope& envelope, const HeartbeatMessage& message, TimePoint now)
{
    const MemberRecord* const known = table_.find(envelope.sender);
    if (known && envelope.senderIncarnation < known->member.incarnation) {
        // Either a delayed datagram, or a member that restarted after its wall clock was set back. Other members drop
        // the latter's messages, so it is sent the incarnation that it has to exceed.
        answer(from, known, { .withPeerRow = true }, now);
        return;
    }
    const MemberRow senderRow { envelope.sender.value, envelope.senderIncarnation, message.sequence, message.status,
        false, message.configurationVersion, message.details };
    const bool wasDead = known && !known->isAlive();
    const MergeOutcome outcome = table_.merge(senderRow, now);
    mergeRows(message.rows, from, true, now);
    MemberRecord* const sender = table_.find(envelope.sender);
    if (outcome == MergeOutcome::NeedsDetails) {
        answer(from, nullptr, { .wantsAnswer = true, .wantsDetails = true, .withDetails = true }, now);
        return;
    }
    if (!sender || sender->member.incarnation != envelope.senderIncarnation)
        return;
    // A network partition has ended. A small fleet reads what it missed at once, a large one receives it by
    // anti-entropy.
    const bool isReachableAgain = wasDead && sender->isAlive() && isMesh();
    const bool isFirst = !catchUp_.isDone() && sender->isAlive();
    if (!catchUp_.isRunning() && (isFirst || isReachableAgain || isCatchUpDue(message.membersKnown, now)))
        startCatchUp(sender->member.id, now);
    sender->lastNonce = message.nonce;
    sender->membersKnown = message.membersKnown;
    maxMembersKnownElsewhere_ = std::max(maxMembersKnownElsewhere_, message.membersKnown);
    handleEcho(*sender, message.echo, now);
    // A sender that is marked dead here has to be told, so that it can refute it.
    if (message.wantsAnswer || !sender->isAlive()) {
        answer(sender->member.peerAddress, sender,
            { .wantsAnswer = !sender->isAlive(),
                .withDetails = message.wantsDetails,
                .withZoneRows = message.wantsDetails },
            now);
    }
    requestPage(now);
}

bool Membership::isSettled(TimePoint now) const
{
    const bool isComplete = catchUp_.isDone() && !catchUp_.isRunning() && maxMembersKnownElsewhere_ <= table_.size();
    return isComplete && now - lastNewMemberAt_ >= settings_.settledAfter;
}

bool Membership::isCatchUpDue(std::uint32_t peerMembersKnown, TimePoint now) const
{
    if (isJoining(now))
        return peerMembersKnown > table_.size() && now - lastCatchUp_ >= settings_.minTimeBetweenJoiningCatchUps;
    // When many members join at once, a catch-up is faster than gossip about each of them.
    if (peerMembersKnown <= table_.size() + maxMissingWithoutCatchUp)
        return false;
    const bool isLargeGap = peerMembersKnown - table_.size() > table_.size() / largeGapDivisor;
    return now - lastCatchUp_ > (isLargeGap ? settings_.minTimeBetweenCatchUps : settings_.minTimeBetweenSmallCatchUps);
}

void Membership::handleEcho(MemberRecord& sender, std::uint32_t echo, TimePoint now)
{
    const auto sentAt = echo == 0 ? std::nullopt : nonces_.sentAt(echo, now);
    if (!sentAt)
        return;
    isolationDetector_.answerReceived(*sentAt);
    if (!sender.isAlive())
        return;
    failureDetector_.answerReceived(sender, *sentAt);
    reportRelayedProbes(sender, *sentAt);
}

void Membership::reportRelayedProbes(const MemberRecord& target, TimePoint nonceSentAt)
{
    std::erase_if(relayedProbes_, [&](const RelayedProbe& probe) {
        if (probe.target != target.member.id || nonceSentAt < probe.requestedAt)
            return false;
        const ProbeResultMessage result { target.member.id.value, target.member.incarnation, probe.nonce };
        send(probe.requester, PeerMessageKind::ProbeResult, encodeMessage(result));
        return true;
    });
}

void Membership::onProbeRequest(const MemberRecord& sender, const ProbeRequestMessage& message, TimePoint now)
{
    const MemberRecord* const target = table_.find(BalancerId { message.target });
    if (!target || target == &table_.self() || indirectProbesLeft_ == 0 || relayedProbes_.size() >= maxRelayedProbes)
        return;
    --indirectProbesLeft_;
    relayedProbes_.push_back({ target->member.id, sender.member.peerAddress, message.nonce, now });
    sendHeartbeat(target->member.peerAddress, target, { .wantsAnswer = true }, now);
}

void Membership::onProbeResult(const ProbeResultMessage& message, TimePoint now)
{
    MemberRecord* const target = table_.find(BalancerId { message.target });
    const auto sentAt = nonces_.sentAt(message.nonce, now);
    if (!target || !target->isAlive() || target->member.incarnation != message.targetIncarnation || !sentAt)
        return;
    isolationDetector_.answerReceived(*sentAt);
    failureDetector_.answerReceived(*target, *sentAt);
}

void Membership::onMembersRequest(const MemberRecord& sender, const MembersRequestMessage& message)
{
    if (pagesLeft_ == 0)
        return;
    --pagesLeft_;
    send(sender.member.peerAddress, PeerMessageKind::MembersPage, encodeMessage(pageFor(message, table_)));
}

void Membership::onMembersPage(const MemberRecord& sender, const MembersPageMessage& message, TimePoint now)
{
    const Result<std::vector<MemberRow>> rows = rowsOf(message);
    // An unreadable page must not count as the end of the view. It is requested again, from another member.
    if (!rows)
        return;
    mergeRows(rows.value(), sender.member.peerAddress, message.named, now);
    if (message.named)
        return;
    const auto lastId = rows.value().empty() ? std::nullopt : std::optional(rows.value().back().id);
    catchUp_.pageReceived(message.after, lastId, message.last);
    requestPage(now);
}

void Membership::mergeRows(const std::vector<MemberRow>& rows, const Endpoint& source, bool propagate, TimePoint now)
{
    MembersRequestMessage request;
    for (const MemberRow& row : rows) {
        const MergeOutcome outcome = table_.merge(row, now, propagate);
        if (outcome == MergeOutcome::AboutSelf)
            refute(row, now);
        else if (outcome == MergeOutcome::NeedsDetails && request.ids.size() < maxNamedIds)
            request.ids.push_back(row.id);
    }
    if (request.ids.empty() || catchUp_.isRunning() || detailRequestsLeft_ == 0)
        return;
    --detailRequestsLeft_;
    send(source, PeerMessageKind::MembersRequest, encodeMessage(request));
}

void Membership::refute(const MemberRow& row, TimePoint now)
{
    const MemberRecord& self = table_.self();
    const bool isAlive = row.status <= static_cast<std::uint8_t>(RowStatus::Leaving) && !row.suspected;
    if (row.incarnation == self.member.incarnation && row.sequence >= self.sequence && !isAlive) {
        table_.setSelfIncarnation(row.incarnation, row.sequence + 1);
    } else if (row.incarnation > self.member.incarnation
        && (lastIncarnationRaise_ == TimePoint::min() || now - lastIncarnationRaise_ > settings_.suspectAfter)) {
        // The rate limit bounds the traffic if two processes run under one name by mistake.
        lastIncarnationRaise_ = now;
        table_.setSelfIncarnation(row.incarnation + 1, 0);
    }
}

void Membership::recoverIfPaused(TimePoint now)
{
    if (!isolationDetector_.detectPause(now))
        return;
    // The time of the pause must not count as unanswered, or this balancer would declare all other members dead. The
    // view may be stale and is read again.
    failureDetector_.reset(now);
    relayedProbes_.clear();
    startCatchUp(std::nullopt, now);
    nextInterval_ = now;
}

}
