#include "Membership/MemberTable.h"

#include "Wire/PeerMessage.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriadock {

namespace {

    // The typical and the largest size of a row on the wire without details.
    constexpr std::size_t typicalRowBytes = 24;
    constexpr std::size_t maxRowBytes = 34;
    constexpr std::size_t detailsOverheadBytes = 32;
    // The size of a message without its rows.
    constexpr std::size_t messageOverheadBytes = 32;
    // How often a change is sent as gossip: at least, and per power of ten of the number of members.
    constexpr std::size_t minSends = 6;
    constexpr std::size_t sendsPerDecade = 3;

    std::size_t bytesOf(const Member& member, bool withDetails)
    {
        return maxRowBytes
            + (withDetails ? detailsOverheadBytes + member.name.size() + member.availabilityZone.size() : 0);
    }

}

MemberTable::MemberTable(const MembershipSettings& settings, const Member& self, TimePoint now)
    : settings_(settings)
    , self_(&records_[self.id])
{
    self_->member = self;
    self_->changedAt = now;
}

MemberRecord* MemberTable::find(BalancerId id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<Endpoint> MemberTable::aliveAddresses() const
{
    std::vector<Endpoint> addresses;
    for (const auto& [id, record] : records_) {
        if (record.isAlive())
            addresses.push_back(record.member.peerAddress);
    }
    return addresses;
}

MergeOutcome MemberTable::merge(const MemberRow& row, TimePoint now, bool propagate)
{
    if (!isWellFormed(row))
        return MergeOutcome::Ignored;
    MemberRecord* const record = find(BalancerId { row.id });
    if (record == self_)
        return MergeOutcome::AboutSelf;
    const bool isNew = !record || row.incarnation > record->member.incarnation;
    const MergeOutcome outcome = isNew ? mergeNewIncarnation(row, record, now) : mergeKnown(*record, row, now);
    if (outcome == MergeOutcome::Applied && propagate)
        enqueueGossip(*find(BalancerId { row.id }), isNew);
    return outcome;
}

MergeOutcome MemberTable::mergeKnown(MemberRecord& record, const MemberRow& row, TimePoint now)
{
    if (row.incarnation < record.member.incarnation)
        return MergeOutcome::Ignored;
    if (row.configurationVersion > record.member.configurationVersion) {
        record.member.configurationVersion = row.configurationVersion;
        versionsChanged_ = true;
    }
    return row.suspected || isDeadOrLeft(row) ? mergeFailureReport(record, row, now) : mergeAlive(record, row);
}

MergeOutcome MemberTable::mergeNewIncarnation(const MemberRow& row, MemberRecord* old, TimePoint now)
{
    if (isDeadOrLeft(row)) {
        // A newer incarnation died unseen, so the known older one is dead too.
        if (!old)
            return MergeOutcome::Ignored;
        old->member.incarnation = row.incarnation;
        old->sequence = row.sequence;
        if (old->isAlive())
            markDead(*old, now);
        return MergeOutcome::Applied;
    }
    if (row.details.empty())
        return MergeOutcome::NeedsDetails;
    if (old)
        erase(old->member.id);
    MemberRecord& record = records_[BalancerId { row.id }];
    record.member = memberOf(row);
    record.sequence = row.sequence;
    record.suspected = row.suspected;
    record.changedAt = now;
    if (row.suspected)
        unconfirmed_.insert(record.member.id);
    ++othersAlive_;
    newMembers_.push_back(record.member.id);
    membersChanged_ = true;
    return MergeOutcome::Applied;
}

MergeOutcome MemberTable::mergeAlive(MemberRecord& record, const MemberRow& row)
{
    if (row.sequence <= record.sequence)
        return MergeOutcome::Ignored;
    if (!record.isAlive()) {
        std::erase(tombstones_, record.member.id);
        ++othersAlive_;
        newMembers_.push_back(record.member.id);
    }
    // Views do not contain the sequence, so a higher one alone, as after a refuted suspicion, is no change.
    membersChanged_ = membersChanged_ || record.member.state != stateOf(row);
    record.sequence = row.sequence;
    record.member.state = stateOf(row);
    record.hasLeft = false;
    clearSuspicion(record);
    return MergeOutcome::Applied;
}

MergeOutcome MemberTable::mergeFailureReport(MemberRecord& record, const MemberRow& row, TimePoint now)
{
    if (row.sequence < record.sequence)
        return MergeOutcome::Ignored;
    const bool isKnown = row.sequence == record.sequence && record.suspected;
    record.sequence = row.sequence;
    if (!record.isAlive())
        return MergeOutcome::Ignored;
    if (!isDeadOrLeft(row) && record.member.state != stateOf(row)) {
        record.member.state = stateOf(row);
        membersChanged_ = true;
    }
    // A reported death is accepted only if the member was already suspected here and has not answered since. Otherwise
    // the stale view of a balancer that was partitioned or paused would mark live members as dead everywhere.
    const bool isConfirmed = record.suspected && !record.disputed && record.lastContact < record.changedAt;
    if (isDeadOrLeft(row) && isConfirmed) {
        markDead(record, now);
        return MergeOutcome::Applied;
    }
    if (isKnown)
        return MergeOutcome::Ignored;
    record.suspected = true;
    record.disputed = isDeadOrLeft(row);
    record.changedAt = now;
    unconfirmed_.insert(record.member.id);
    // A disputed death is not propagated: others would take it for a suspicion and accept the next report of the death.
    return record.disputed ? MergeOutcome::Ignored : MergeOutcome::Applied;
}

void MemberTable::setSelfState(MemberState state)
{
    if (self_->member.state == state)
        return;
    self_->member.state = state;
    ++self_->sequence;
    membersChanged_ = true;
}

void MemberTable::setConfigurationVersion(std::uint64_t version)
{
    self_->member.configurationVersion = version;
    membersChanged_ = true;
}

void MemberTable::setSelfIncarnation(std::uint64_t incarnation, std::uint32_t sequence)
{
    membersChanged_ = membersChanged_ || self_->member.incarnation != incarnation;
    self_->member.incarnation = incarnation;
    self_->sequence = sequence;
    enqueueGossip(*self_, false);
}

void MemberTable::suspect(MemberRecord& record, TimePoint now)
{
    record.suspectedLocally = true;
    record.disputed = false;
    record.suspected = true;
    record.changedAt = now;
    unconfirmed_.insert(record.member.id);
    enqueueGossip(record, false);
}

void MemberTable::clearSuspicion(MemberRecord& record)
{
    record.suspected = false;
    record.suspectedLocally = false;
    record.disputed = false;
    if (!record.unansweredSince)
        unconfirmed_.erase(record.member.id);
}

void MemberTable::declareDead(MemberRecord& record, TimePoint now)
{
    markDead(record, now);
    enqueueGossip(record, false);
}

void MemberTable::restartSuspicionTimeouts(TimePoint now)
{
    for (const BalancerId id : unconfirmed_) {
        MemberRecord& record = records_.at(id);
        if (record.suspected)
            record.changedAt = now;
    }
}

void MemberTable::markDead(MemberRecord& record, TimePoint now)
{
    record.hasLeft = record.member.state == MemberState::Leaving;
    record.member.state = MemberState::Dead;
    record.unansweredSince.reset();
    clearSuspicion(record);
    record.changedAt = now;
    tombstones_.push_back(record.member.id);
    --othersAlive_;
    membersChanged_ = true;
}

void MemberTable::enqueueGossip(MemberRecord& record, bool withDetails)
{
    record.gossipHasDetails = withDetails || (record.gossipHasDetails && gossip_.contains(record.member.id));
    const double decades = std::ceil(std::log10(static_cast<double>(records_.size() + 1)));
    gossip_.push(record.member.id, std::max(minSends, sendsPerDecade * static_cast<std::size_t>(decades)));
}

void MemberTable::erase(BalancerId id)
{
    const auto found = records_.find(id);
    if (found->second.isAlive())
        --othersAlive_;
    else
        std::erase(tombstones_, id);
    unconfirmed_.erase(id);
    gossip_.erase(id);
    records_.erase(found);
    membersChanged_ = true;
}

Duration MemberTable::suspicionTimeout() const
{
    const double factor = std::max(1.0, std::log2(static_cast<double>(othersAlive_ + 1)) / 3);
    return std::chrono::duration_cast<Duration>(settings_.suspicionTimeout * factor);
}

std::vector<BalancerId> MemberTable::takeNewMembers() { return std::exchange(newMembers_, {}); }

std::optional<BalancerId> MemberTable::randomDead(std::mt19937_64& random) const
{
    if (tombstones_.empty())
        return std::nullopt;
    const std::size_t start = random() % tombstones_.size();
    for (std::size_t i = 0; i < tombstones_.size(); ++i) {
        const BalancerId id = tombstones_[(start + i) % tombstones_.size()];
        if (!records_.at(id).hasLeft)
            return id;
    }
    return std::nullopt;
}

void MemberTable::dropOldTombstones(TimePoint now)
{
    while (!tombstones_.empty()) {
        const BalancerId oldest = tombstones_.front();
        const bool isOld = now - records_.at(oldest).changedAt > settings_.tombstoneLifetime;
        if (!isOld && tombstones_.size() <= settings_.tombstoneLimit)
            return;
        erase(oldest);
    }
}

std::vector<MemberRow> MemberTable::takeGossip(std::size_t& bytes)
{
    std::vector<MemberRow> rows;
    for (std::size_t left = gossip_.size(); left > 0 && bytes >= typicalRowBytes; --left) {
        const auto id = gossip_.pop();
        const MemberRecord& record = records_.at(*id);
        bytes -= std::min(bytes, bytesOf(record.member, record.gossipHasDetails) - (maxRowBytes - typicalRowBytes));
        rows.push_back(rowOf(record, record.gossipHasDetails));
    }
    return rows;
}

std::vector<MemberRow> MemberTable::takeAntiEntropyRows(std::size_t count)
{
    std::vector<MemberRow> rows;
    for (std::size_t i = 0; i < std::min(count, records_.size()); ++i) {
        auto next = records_.upper_bound(antiEntropyPosition_);
        if (next == records_.end())
            next = records_.begin();
        antiEntropyPosition_ = next->first;
        rows.push_back(rowOf(next->second, false));
    }
    return rows;
}

std::vector<MemberRow> MemberTable::page(std::uint32_t afterId, bool& isLast) const
{
    std::vector<MemberRow> rows;
    std::size_t used = messageOverheadBytes;
    auto next = records_.upper_bound(BalancerId { afterId });
    for (; next != records_.end(); ++next) {
        const bool withDetails = next->second.isAlive();
        used += bytesOf(next->second.member, withDetails);
        if (used > maxPeerPayloadBytes)
            break;
        rows.push_back(rowOf(next->second, withDetails));
    }
    isLast = next == records_.end();
    return rows;
}

std::vector<MemberRow> MemberTable::rowsAfter(std::uint32_t afterId, std::size_t maxRows, bool& isLast) const
{
    std::vector<MemberRow> rows;
    auto next = records_.upper_bound(BalancerId { afterId });
    for (; next != records_.end() && rows.size() < maxRows; ++next)
        rows.push_back(rowOf(next->second, next->second.isAlive()));
    isLast = next == records_.end();
    return rows;
}

std::vector<MemberRow> MemberTable::rowsOf(const std::vector<std::uint32_t>& ids) const
{
    std::vector<MemberRow> rows;
    std::size_t used = messageOverheadBytes;
    for (const std::uint32_t id : ids) {
        const auto found = records_.find(BalancerId { id });
        if (found == records_.end())
            continue;
        used += bytesOf(found->second.member, true);
        if (used > maxPeerPayloadBytes)
            break;
        rows.push_back(rowOf(found->second, true));
    }
    return rows;
}

std::vector<MemberRow> MemberTable::fastestOf(
    const std::string& availabilityZone, std::size_t count, std::size_t& bytes) const
{
    std::vector<const MemberRecord*> members;
    for (const auto& [id, record] : records_) {
        if (record.isAlive() && record.member.availabilityZone == availabilityZone)
            members.push_back(&record);
    }
    const std::size_t rows = std::min(count, members.size());
    const auto isFaster = [](const MemberRecord* a, const MemberRecord* b) {
        return std::pair(a->member.linkMegabits, b->member.id) > std::pair(b->member.linkMegabits, a->member.id);
    };
    std::ranges::partial_sort(members, members.begin() + static_cast<std::ptrdiff_t>(rows), isFaster);
    std::vector<MemberRow> found;
    for (std::size_t i = 0; i < rows; ++i) {
        bytes += bytesOf(members[i]->member, true);
        found.push_back(rowOf(*members[i], true));
    }
    return found;
}

std::shared_ptr<const MembersView> MemberTable::publish(std::uint64_t revision, bool isolated)
{
    auto view = std::make_shared<MembersView>();
    view->revision = revision;
    view->self = self_->member.id;
    view->isolated = isolated;
    view->members.reserve(records_.size());
    for (const auto& [id, record] : records_) {
        // Members that left as planned are not listed as dead.
        if (!record.hasLeft)
            view->members.push_back(record.member);
    }
    membersChanged_ = false;
    versionsChanged_ = false;
    return view;
}

}
