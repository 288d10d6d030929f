#include "LoadReports/LoadExchange.h"

#include "LoadReports/DigestRows.h"
#include "Peers/ConfigurationWatchers.h"
#include "Wire/PeerMessageCodec.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace wisteriadock {

namespace {

    // The observation of one balancer counts half after this time.
    constexpr std::chrono::seconds ownHalfLife { 2 };
    // Smoothed loads below this are dropped.
    constexpr float negligibleLoad = 0.01F;

    bool isAlive(const Member& member) { return member.isReachable() && member.state != MemberState::Leaving; }

    std::shared_ptr<const std::vector<std::uint8_t>> encoded(const LoadDigestMessage& message)
    {
        return std::make_shared<const std::vector<std::uint8_t>>(encodeMessage(message));
    }

    // Removes rows until the message fits into a datagram.
    LoadDigestMessage limitedDigest(BalancerId origin, std::vector<ZoneLoad> zones, std::size_t maxRows, TimePoint now)
    {
        for (;;) {
            limitRows(zones, maxRows);
            LoadDigestMessage message = digestOf(origin, zones, now);
            if (maxRows == 0 || encodeMessage(message).size() <= maxPeerPayloadBytes)
                return message;
            maxRows = maxRows * 3 / 4;
        }
    }

    void addRows(const ZoneLoad& zone, std::map<std::string, ServiceLoad>& loads)
    {
        for (const ObservedLoad& row : zone.rows)
            loads[row.service].rows.push_back({ zone.zone, row.serverZone, row.priority, row.load });
    }

}

LoadExchange::LoadExchange(
    BalancerId self, std::string availabilityZone, std::uint64_t seed, SlotCount slots, LoadExchangeSettings settings)
    : self_(self)
    , zone_(std::move(availabilityZone))
    , settings_(settings)
    , slots_(std::move(slots))
    , random_(seed)
    , choice_(self, settings_.interval * settings_.silentIntervals)
    , reports_(settings_.lifetime)
{
}

void LoadExchange::setView(std::shared_ptr<const MembersView> view)
{
    if (view_ && view_->revision == view->revision)
        return;
    view_ = std::move(view);
    othersInZone_.clear();
    firstOfZones_.clear();
    std::vector<const Member*> candidates;
    std::vector<BalancerId> senders;
    for (const Member& member : view_->members) {
        const bool isSelf = member.id == self_;
        if (!isSelf && !member.isReachable())
            continue;
        if (member.availabilityZone != zone_) {
            const Member*& first = firstOfZones_[member.availabilityZone];
            if (isAlive(member) && (!first || dutyRankOf(member) < dutyRankOf(*first)))
                first = &member;
            continue;
        }
        senders.push_back(member.id);
        if (!isSelf)
            othersInZone_.push_back(&member);
        if (isAlive(member))
            candidates.push_back(&member);
    }
    std::erase_if(firstOfZones_, [](const auto& row) { return !row.second; });
    liveInZone_ = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(candidates.size()));
    std::ranges::sort(candidates, {}, [](const Member* member) { return dutyRankOf(*member); });
    std::vector<BalancerId> byRank;
    byRank.reserve(candidates.size());
    for (const Member* member : candidates)
        byRank.push_back(member->id);
    choice_.setCandidates(std::move(byRank));
    reports_.keepOnly(senders);
    for (auto& [zone, digests] : digests_)
        std::erase_if(digests, [this](const auto& row) { return !view_->find(row.first); });
}

LoadActions LoadExchange::handleInterval(std::vector<ObservedLoad> own, TimePoint now)
{
    LoadActions actions;
    nextInterval_ = now + settings_.interval;
    smoothOwn(own, now);
    if (view_) {
        const auto former = choice_.current();
        const auto current = choice_.choose(now);
        if (former != current)
            actions.emplace_back(AggregatorChanged { former, current });
        sendReport(std::move(own), now, actions);
        // A balancer that gets reports sums them up even if it would choose another one: its senders can't reach that.
        const Duration recently = settings_.interval * settings_.silentIntervals;
        isAggregating_ = current == self_ || reports_.hasReportOfOthers(self_, now - recently);
        if (isAggregating_)
            sendDigests(now, actions);
    }
    noteAvailability(now, actions);
    return actions;
}

// Exponential average. A class that is missing in the interval had no load.
void LoadExchange::smoothOwn(const std::vector<ObservedLoad>& own, TimePoint now)
{
    const std::chrono::duration<float> elapsed = now - std::exchange(smoothedAt_, now);
    const float decay = std::exp2(-elapsed / std::chrono::duration<float>(ownHalfLife));
    for (ObservedLoad& row : smoothedOwn_)
        row.load = scaledLoad(row.load, decay);
    for (const ObservedLoad& row : own) {
        const auto found = std::ranges::find_if(smoothedOwn_, [&](const ObservedLoad& held) {
            return held.service == row.service && held.serverZone == row.serverZone && held.priority == row.priority;
        });
        const RequestLoad share = scaledLoad(row.load, 1 - decay);
        if (found != smoothedOwn_.end())
            addLoad(found->load, share);
        else
            smoothedOwn_.push_back({ row.service, row.serverZone, row.priority, share });
    }
    std::erase_if(
        smoothedOwn_, [](const ObservedLoad& row) { return row.load.inProgress + row.load.begun < negligibleLoad; });
}

void LoadExchange::sendReport(std::vector<ObservedLoad> own, TimePoint now, LoadActions& actions)
{
    ++reportSequence_;
    const auto aggregator = choice_.current();
    const Member* receiver = aggregator && *aggregator != self_ ? view_->find(*aggregator) : nullptr;
    // Drawn in each interval, so that the reports of a large zone arrive spread over time.
    const bool isChosen
        = liveInZone_ <= settings_.reportsPerInterval || random_() % liveInZone_ < settings_.reportsPerInterval;
    if (receiver && isChosen) {
        const auto payload = std::make_shared<const std::vector<std::uint8_t>>(encodeReport(reportSequence_, own));
        actions.emplace_back(SendLoadMessage { receiver->peerAddress, PeerMessageKind::LoadReport, payload });
    }
    reports_.put(self_, selfIncarnation(), reportSequence_, std::move(own), now);
}

void LoadExchange::sendDigests(TimePoint now, LoadActions& actions)
{
    ZoneLoad sum = reports_.sum(liveInZone_, now);
    sum.zone = zone_;
    sum.aggregator = self_;
    sum.incarnation = selfIncarnation();
    sum.sequence = ++digestSequence_;
    sum.madeAt = now;
    const auto ofOwnZone = encoded(limitedDigest(self_, { sum }, settings_.maxDigestRows, now));
    for (const Endpoint& to : aggregatorsOfOtherZones(now))
        actions.emplace_back(SendLoadMessage { to, PeerMessageKind::LoadDigest, ofOwnZone });
    putDigest(std::move(sum), now);

    LoadDigestMessage message = limitedDigest(self_, currentZones(now), settings_.maxDigestRows, now);
    if (othersInZone_.size() > settings_.maxDirectDigests) {
        passOn(message, othersInZone_, actions);
        return;
    }
    const auto payload = encoded(message);
    for (const Member* member : othersInZone_)
        actions.emplace_back(SendLoadMessage { member->peerAddress, PeerMessageKind::LoadDigest, payload });
}

void LoadExchange::passOn(LoadDigestMessage& message, const std::vector<const Member*>& receivers, LoadActions& actions)
{
    for (const RelayTarget& target : relayTargets(receivers, self_, settings_.relayFanout, random_)) {
        message.first = target.range.first;
        message.last = target.range.last;
        actions.emplace_back(
            SendLoadMessage { target.member->peerAddress, PeerMessageKind::LoadDigest, encoded(message) });
    }
}

// Balancers may disagree on the aggregator of a zone for some intervals, so both candidates get the digest.
std::vector<Endpoint> LoadExchange::aggregatorsOfOtherZones(TimePoint now) const
{
    std::vector<Endpoint> addresses;
    for (const auto& [zone, first] : firstOfZones_) {
        addresses.push_back(first->peerAddress);
        const ZoneLoad* digest = digestOfZone(zone, now);
        const Member* sender = digest && digest->aggregator != first->id ? view_->find(digest->aggregator) : nullptr;
        if (sender && sender->isReachable())
            addresses.push_back(sender->peerAddress);
    }
    return addresses;
}

LoadActions LoadExchange::handleMessage(const PeerEnvelope& envelope, TimePoint now)
{
    LoadActions actions;
    if (envelope.kind == PeerMessageKind::LoadReport)
        handleReport(envelope, now, actions);
    else if (envelope.kind == PeerMessageKind::LoadDigest)
        handleDigest(envelope, now, actions);
    return actions;
}

const Member* LoadExchange::findSender(const PeerEnvelope& envelope) const
{
    const Member* sender = view_ ? view_->find(envelope.sender) : nullptr;
    const bool isOfFormerProcess = sender && envelope.senderIncarnation < sender->incarnation;
    return sender && sender->id != self_ && sender->isReachable() && !isOfFormerProcess ? sender : nullptr;
}

void LoadExchange::handleReport(const PeerEnvelope& envelope, TimePoint now, LoadActions& actions)
{
    const Member* sender = findSender(envelope);
    const auto message = decodeMessage<LoadReportMessage>(envelope.payload);
    if (!sender || sender->availabilityZone != zone_ || !message) {
        ++counts_.ignored;
        return;
    }
    std::vector<ObservedLoad> rows = rowsOf(message.value());
    refuseWrongRows(sender->id, rows, actions);
    const bool isNew
        = reports_.put(sender->id, envelope.senderIncarnation, message.value().sequence, std::move(rows), now);
    ++(isNew ? counts_.reports : counts_.ignored);
}

void LoadExchange::handleDigest(const PeerEnvelope& envelope, TimePoint now, LoadActions& actions)
{
    auto message = decodeMessage<LoadDigestMessage>(envelope.payload);
    if (!findSender(envelope) || !message) {
        ++counts_.ignored;
        return;
    }
    bool isNew = false;
    for (ZoneLoad& zone : zonesOf(message.value(), now)) {
        const Member* aggregator = view_->find(zone.aggregator);
        if (!aggregator || aggregator->id == self_ || aggregator->availabilityZone != zone.zone
            || zone.incarnation < aggregator->incarnation)
            continue;
        refuseWrongRows(aggregator->id, zone.rows, actions);
        const bool isOfOwnZone = zone.zone == zone_;
        if (!putDigest(std::move(zone), now))
            continue;
        isNew = true;
        if (isOfOwnZone)
            choice_.noteDigest(aggregator->id, now);
    }
    ++(isNew ? counts_.digests : counts_.ignored);
    const RelayRange range { message.value().first, message.value().last };
    std::vector<const Member*> receivers = othersInZone_;
    std::erase_if(receivers, [&](const Member* member) {
        return !range.contains(member->id) || member->id.value == message.value().origin;
    });
    if (!receivers.empty())
        passOn(message.value(), receivers, actions);
}

bool LoadExchange::putDigest(ZoneLoad zone, TimePoint now)
{
    if (isExpired(zone, now))
        return false;
    const auto [entry, isFirst] = digests_[zone.zone].try_emplace(zone.aggregator);
    ZoneLoad& held = entry->second;
    if (!isFirst && std::pair(zone.incarnation, zone.sequence) <= std::pair(held.incarnation, held.sequence))
        return false;
    held = std::move(zone);
    return true;
}

void LoadExchange::refuseWrongRows(BalancerId sender, std::vector<ObservedLoad>& rows, LoadActions& actions)
{
    const std::size_t refused = std::erase_if(rows, [this](const ObservedLoad& row) {
        const auto slots = static_cast<float>(std::max(1U, slots_(row.service, row.serverZone)));
        const RequestLoad& load = row.load;
        const float highest = std::max({ load.inProgress, load.begun, load.served, load.rejected, load.unanswered });
        return highest > slots * settings_.maxRequestsPerSlot;
    });
    if (refused == 0)
        return;
    counts_.refusedRows += refused;
    actions.emplace_back(LoadRowsRefused { sender, refused });
}

void LoadExchange::noteAvailability(TimePoint now, LoadActions& actions)
{
    const bool isAvailable = digestOfZone(zone_, now) != nullptr;
    if (std::exchange(hasDigest_, isAvailable) != isAvailable)
        actions.emplace_back(DigestAvailabilityChanged { isAvailable });
}

std::uint64_t LoadExchange::selfIncarnation() const
{
    const Member* self = view_ ? view_->find(self_) : nullptr;
    return self ? self->incarnation : 0;
}

const ZoneLoad* LoadExchange::digestOfZone(const std::string& zone, TimePoint now) const
{
    const ZoneLoad* best = nullptr;
    const auto digests = digests_.find(zone);
    if (digests == digests_.end())
        return nullptr;
    for (const auto& [aggregator, digest] : digests->second) {
        const auto rankOf = [](const ZoneLoad& load) { return std::pair(load.covered, load.madeAt); };
        if (!isExpired(digest, now) && (!best || rankOf(digest) > rankOf(*best)))
            best = &digest;
    }
    return best;
}

std::vector<ZoneLoad> LoadExchange::currentZones(TimePoint now) const
{
    std::vector<ZoneLoad> zones;
    for (const auto& [zone, digests] : digests_) {
        if (const ZoneLoad* digest = digestOfZone(zone, now))
            zones.push_back(*digest);
    }
    return zones;
}

std::map<std::string, ServiceLoad> LoadExchange::loads(TimePoint now) const
{
    std::map<std::string, ServiceLoad> loads;
    std::set<std::string> callerZones { zone_ };
    for (const auto& [zone, digests] : digests_) {
        const ZoneLoad* digest = digestOfZone(zone, now);
        if (!digest)
            continue;
        addRows(*digest, loads);
        callerZones.insert(zone);
    }
    if (!digestOfZone(zone_, now)) {
        // The callers of a zone are spread evenly over its balancers.
        const auto factor = static_cast<float>(liveInZone_);
        for (const ObservedLoad& row : smoothedOwn_)
            loads[row.service].rows.push_back({ zone_, row.serverZone, row.priority, scaledLoad(row.load, factor) });
    }
    for (auto& [service, load] : loads)
        load.callerZones = callerZones;
    return loads;
}

}
