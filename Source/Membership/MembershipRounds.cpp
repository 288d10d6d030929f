// Class Membership, continued: what is sent in each interval, and the sending of messages.
#include "Membership/Membership.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // The size of the random sample from which the source of a page is chosen.
    constexpr std::size_t pageCandidates = 8;

}

void Membership::beginInterval(TimePoint now)
{
    ++round_;
    // Keeps a fixed rate unless the caller's ticks are late.
    nextInterval_ = std::max(nextInterval_ + settings_.interval, now + settings_.interval / 2);
    const std::size_t linkFactor
        = std::max<std::size_t>(1, table_.self().member.linkMegabits / settings_.limitedLinkMegabits);
    answersLeft_ = settings_.answersPerInterval * linkFactor;
    verificationsLeft_ = settings_.verificationsPerInterval;
    indirectProbesLeft_ = settings_.indirectProbesPerInterval;
    pagesLeft_ = settings_.pagesPerInterval * linkFactor;
    gossipBytesLeft_ = settings_.gossipBytesPerInterval;
    antiEntropyRowsLeft_ = settings_.antiEntropyRowsPerInterval;
    detailRequestsLeft_ = settings_.detailRequestsPerInterval;
    catchUp_.beginInterval(settings_.catchUpPagesPerInterval);
    std::erase_if(
        relayedProbes_, [&](const RelayedProbe& probe) { return now - probe.requestedAt > settings_.suspectAfter; });
    table_.dropOldTombstones(now);
    scheduleCatchUp(now);
    isMesh() ? probeAll(now) : probeSome(now);
    retryDead(now);
    contactUnknown(now);
    requestPage(now);
}

void Membership::probeAll(TimePoint now)
{
    // Peers send as often, and the next heartbeat of each echoes this one. Only unresponsive peers are asked to answer
    // at once.
    const bool isSearching = isolationDetector_.isSearching(now);
    for (const BalancerId id : probeOrder_.prune(aliveFilter())) {
        MemberRecord& peer = *table_.find(id);
        const bool isUnresponsive = peer.unansweredSince && now - *peer.unansweredSince >= settings_.indirectProbeAfter;
        const bool wantsAnswer = isSearching || isUnresponsive;
        failureDetector_.probeSent(peer, now);
        sendHeartbeat(peer.member.peerAddress, &peer, { .wantsAnswer = wantsAnswer }, now);
    }
}

void Membership::probeSome(TimePoint now)
{
    // Every other probe stays in this balancer's availability zone, so that it still gets answers soon enough not to
    // count as isolated if only its own zone is reachable.
    auto target = round_ % 2 == 0 ? zoneProbeOrder_.next(aliveFilter(), random_) : std::nullopt;
    if (!target)
        target = probeOrder_.next(aliveFilter(), random_);
    if (target)
        probe(*table_.find(*target), now);
    if (isJoining(now))
        probeToJoin(now);
    if (!isolationDetector_.isSearching(now))
        return;
    for (const BalancerId id : zoneProbeOrder_.sample(settings_.searchFanOut / 2, aliveFilter(), random_))
        probe(*table_.find(id), now);
    for (const BalancerId id : sampleAlive(settings_.searchFanOut / 2))
        probe(*table_.find(id), now);
}

// A joining balancer asks more members, to learn how many there are.
void Membership::probeToJoin(TimePoint now)
{
    nextJoiningProbes_ = now + settings_.interval / 2;
    for (const BalancerId id : sampleAlive(settings_.joiningProbes))
        probe(*table_.find(id), now);
}

void Membership::probe(MemberRecord& peer, TimePoint now)
{
    failureDetector_.probeSent(peer, now);
    sendHeartbeat(peer.member.peerAddress, &peer, { .wantsAnswer = true }, now);
}

void Membership::handleDetectorEvent(const DetectorEvent& event, TimePoint now)
{
    MemberRecord& member = *table_.find(event.member);
    switch (event.kind) {
    case DetectorEventKind::IndirectProbeDue:
        probeIndirectly(member, now);
        break;
    case DetectorEventKind::Suspected:
    case DetectorEventKind::VerificationDue:
        if (verificationsLeft_ > 0) {
            --verificationsLeft_;
            probe(member, now);
        }
        break;
    case DetectorEventKind::DeclaredDead:
        break;
    }
}

void Membership::probeIndirectly(MemberRecord& target, TimePoint now)
{
    sendHeartbeat(target.member.peerAddress, &target, { .wantsAnswer = true }, now);
    const ProbeRequestMessage request { target.member.id.value, nonces_.nonceAt(now) };
    for (const BalancerId id : sampleAlive(settings_.indirectProbes)) {
        if (id == target.member.id || indirectProbesLeft_ == 0)
            continue;
        --indirectProbesLeft_;
        send(table_.find(id)->member.peerAddress, PeerMessageKind::ProbeRequest, encodeMessage(request));
    }
}

void Membership::retryDead(TimePoint now)
{
    // Both sides of a network partition consider each other dead. Without these probes they would not merge after it
    // ends.
    if (!isMesh() && round_ % settings_.intervalsPerRetry != 0)
        return;
    if (const auto id = table_.randomDead(random_)) {
        const MemberRecord* const dead = table_.find(*id);
        sendHeartbeat(dead->member.peerAddress, dead, { .wantsAnswer = true }, now);
    }
}

void Membership::contactUnknown(TimePoint now)
{
    const bool isAlone = table_.othersAlive() == 0;
    if (isAlone || round_ % settings_.intervalsPerRetry == 0)
        contactUnknown(isAlone ? settings_.searchFanOut : 1, now);
}

void Membership::contactUnknown(std::size_t maxCount, TimePoint now)
{
    nextNewcomerContact_ = now + settings_.newcomerContactInterval;
    const std::size_t count = std::min(maxCount, unknownAddresses_.size());
    // A partial shuffle that selects `count` addresses.
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(unknownAddresses_[i], unknownAddresses_[i + random_() % (unknownAddresses_.size() - i)]);
        sendHeartbeat(
            unknownAddresses_[i], nullptr, { .wantsAnswer = true, .wantsDetails = true, .withDetails = true }, now);
    }
}

void Membership::scheduleCatchUp(TimePoint now)
{
    if (catchUp_.isRunning() || table_.othersAlive() == 0)
        return;
    if (!catchUp_.isDone()) {
        startCatchUp(std::nullopt, now);
    } else if (secondCatchUp_ && now >= *secondCatchUp_) {
        startCatchUp(std::nullopt, now);
        secondCatchUp_.reset();
    }
}

void Membership::startCatchUp(std::optional<BalancerId> source, TimePoint now)
{
    // Members that joined at the same time may be missing from the first catch-up.
    if (!catchUp_.isDone())
        secondCatchUp_ = now + settings_.secondCatchUpDelay;
    catchUp_.start();
    pageSource_ = source;
    lastCatchUp_ = now;
}

void Membership::requestPage(TimePoint now)
{
    if (!catchUp_.mayRequest(now))
        return;
    // A member that did not send the page in time may be unresponsive or overloaded.
    if (catchUp_.isOverdue(now))
        pageSource_.reset();
    const MemberRecord* const source = pageSource();
    if (!source)
        return;
    pageSource_ = source->member.id;
    send(source->member.peerAddress, PeerMessageKind::MembersRequest,
        encodeMessage(MembersRequestMessage { catchUp_.request(now), {}, true }));
}

const MemberRecord* Membership::pageSource()
{
    const MemberRecord* source = pageSource_ ? table_.find(*pageSource_) : nullptr;
    if (source && source->isAlive())
        return source;
    source = nullptr;
    for (const BalancerId id : sampleAlive(pageCandidates)) {
        const MemberRecord* const candidate = table_.find(id);
        if (!source || candidate->membersKnown > source->membersKnown)
            source = candidate;
    }
    return source;
}

void Membership::answer(const Endpoint& to, const MemberRecord* peer, HeartbeatOptions options, TimePoint now)
{
    if (answersLeft_ == 0)
        return;
    --answersLeft_;
    sendHeartbeat(to, peer, options, now);
}

void Membership::sendHeartbeat(const Endpoint& to, const MemberRecord* peer, HeartbeatOptions options, TimePoint now)
{
    MemberRow own = rowOf(table_.self(), options.withDetails);
    HeartbeatMessage message { nonces_.nonceAt(now), peer ? peer->lastNonce : 0, options.wantsAnswer,
        options.wantsDetails, own.sequence, own.status, own.configurationVersion,
        static_cast<std::uint32_t>(table_.size()), std::move(own.details), {} };
    // The receiver's own row comes first if it has to refute it.
    if (peer && (options.withPeerRow || peer->suspected || !peer->isAlive()))
        message.rows.push_back(rowOf(*peer, false));
    std::size_t zoneBytes = 0;
    if (peer && options.withZoneRows) {
        for (MemberRow& row :
            table_.fastestOf(peer->member.availabilityZone, settings_.zoneRowsForNewcomers, zoneBytes))
            message.rows.push_back(std::move(row));
    }
    appendGossip(message.rows, zoneBytes);
    send(to, PeerMessageKind::Heartbeat, encodeMessage(message));
}

void Membership::appendGossip(std::vector<MemberRow>& rows, std::size_t bytesUsed)
{
    const std::size_t allowance
        = std::min(settings_.gossipBytes - std::min(settings_.gossipBytes, bytesUsed), gossipBytesLeft_);
    std::size_t unused = allowance;
    const std::vector<MemberRow> gossip = table_.takeGossip(unused);
    gossipBytesLeft_ -= allowance - unused;
    rows.insert(rows.end(), gossip.begin(), gossip.end());
    std::size_t antiEntropyRows = std::min(settings_.antiEntropyRows, antiEntropyRowsLeft_);
    if (isMesh())
        antiEntropyRows = round_ % settings_.intervalsPerRetry == 0 ? 1 : 0;
    const std::vector<MemberRow> antiEntropy = table_.takeAntiEntropyRows(antiEntropyRows);
    antiEntropyRowsLeft_ -= std::min(antiEntropyRowsLeft_, antiEntropy.size());
    rows.insert(rows.end(), antiEntropy.begin(), antiEntropy.end());
}

void Membership::send(const Endpoint& to, PeerMessageKind kind, std::vector<std::uint8_t> payload)
{
    const Member& self = table_.self().member;
    actions_.push_back(SendPeerMessage { to, { self.id, self.incarnation, kind, std::move(payload) } });
}

void Membership::addToProbeOrders(TimePoint now)
{
    for (const BalancerId id : table_.takeNewMembers()) {
        lastNewMemberAt_ = now;
        probeOrder_.insert(id, random_);
        const MemberRecord* const record = table_.find(id);
        if (record && record->member.availabilityZone == table_.self().member.availabilityZone)
            zoneProbeOrder_.insert(id, random_);
    }
}

MembershipActions Membership::finish(TimePoint now, bool endsInterval)
{
    addToProbeOrders(now);
    const bool isIsolated = isolationDetector_.isIsolated(table_.othersAlive() > 0, now);
    // A view of a large fleet is expensive to copy, so changes of configuration versions alone, and changes during a
    // catch-up, are published once per interval.
    const bool mayDelay = !isMesh() && !endsInterval;
    const bool isDue = isIsolated != view_->isolated || (table_.membersChanged() && !(mayDelay && catchUp_.isRunning()))
        || (table_.versionsChanged() && !mayDelay);
    if (isDue) {
        view_ = table_.publish(view_->revision + 1, isIsolated);
        actions_.push_back(MembersViewChanged { view_ });
    }
    return std::exchange(actions_, {});
}

ProbeOrder::Filter Membership::aliveFilter()
{
    return [this](BalancerId id) {
        const MemberRecord* const record = table_.find(id);
        return record && record->isAlive();
    };
}

std::vector<BalancerId> Membership::sampleAlive(std::size_t count)
{
    return probeOrder_.sample(count, aliveFilter(), random_);
}

}
