#pragma once

#include "Core/Clock.h"
#include "Membership/GossipQueue.h"
#include "Membership/Member.h"
#include "Membership/MemberRecord.h"
#include "Membership/MembershipMessages.h"
#include "Membership/MembershipSettings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace wisteriadock {

// What came of a row that another balancer sent.
enum class MergeOutcome {
    Ignored, // Old, malformed or known, or a death to be looked into first.
    Applied,
    NeedsDetails, // A member or an incarnation that is not known yet; ask for its details.
    AboutSelf, // Left to the caller, who may have to refute it.
};

// The rows of all members, how rows of other balancers are merged into them, and the news to pass on.
class MemberTable {
public:
    MemberTable(const MembershipSettings&, const Member& self, TimePoint now);

    // What a row changes is passed on as news, unless the row was read in a catch-up and so is news to nobody else.
    MergeOutcome merge(const MemberRow&, TimePoint now, bool propagate = true);

    MemberRecord& self() { return *self_; }
    const MemberRecord& self() const { return *self_; }
    MemberRecord* find(BalancerId);
    // All members, this one and the dead included.
    std::size_t size() const { return records_.size(); }
    std::size_t othersAlive() const { return othersAlive_; }
    std::vector<Endpoint> aliveAddresses() const;

    // Changes of this balancer's own row. Raising the sequence overrides whatever others say of it.
    void setSelfState(MemberState);
    void setConfigurationVersion(std::uint64_t);
    void setSelfIncarnation(std::uint64_t incarnation, std::uint32_t sequence);

    void suspect(MemberRecord&, TimePoint now);
    void clearSuspicion(MemberRecord&);
    void declareDead(MemberRecord&, TimePoint now);
    // Gives all suspected members their full time again.
    void restartSuspicionTimeouts(TimePoint now);
    // Members that are suspected or owe an answer.
    std::set<BalancerId>& unconfirmed() { return unconfirmed_; }
    // How long a suspected member of a fleet of this size has to refute.
    Duration suspicionTimeout() const;

    // Members that are alive since the last call and were not before.
    std::vector<BalancerId> takeNewMembers();
    // A dead member to be tried again, at random.
    std::optional<BalancerId> randomDead(std::mt19937_64&) const;
    void dropOldTombstones(TimePoint now);

    // News for a message, worth about the bytes given. Leaves there what it did not use.
    std::vector<MemberRow> takeGossip(std::size_t& bytes);
    // The next members in the order of ids.
    std::vector<MemberRow> takeAntiEntropyRows(std::size_t rows);
    // Rows with details above an id, as many as fit one datagram. Sets whether these are the last.
    std::vector<MemberRow> page(std::uint32_t afterId, bool& isLast) const;
    // The same for so many rows at most.
    std::vector<MemberRow> rowsAfter(std::uint32_t afterId, std::size_t maxRows, bool& isLast) const;
    std::vector<MemberRow> rowsOf(const std::vector<std::uint32_t>& ids) const;

    // True when a view published now would differ in more than configuration versions.
    bool membersChanged() const { return membersChanged_; }
    bool versionsChanged() const { return versionsChanged_; }
    std::shared_ptr<const MembersView> publish(std::uint64_t revision, bool isolated);

private:
    MergeOutcome mergeNewIncarnation(const MemberRow&, MemberRecord* old, TimePoint now);
    MergeOutcome mergeKnown(MemberRecord&, const MemberRow&, TimePoint now);
    MergeOutcome mergeAlive(MemberRecord&, const MemberRow&);
    MergeOutcome mergeFailureReport(MemberRecord&, const MemberRow&, TimePoint now);
    void markDead(MemberRecord&, TimePoint now);
    void enqueueGossip(MemberRecord&, bool withDetails);
    void erase(BalancerId);

    const MembershipSettings& settings_;
    std::map<BalancerId, MemberRecord> records_;
    MemberRecord* self_;
    std::size_t othersAlive_ = 0;
    std::set<BalancerId> unconfirmed_;
    std::vector<BalancerId> newMembers_;
    // Oldest first.
    std::deque<BalancerId> tombstones_;
    GossipQueue gossip_;
    BalancerId antiEntropyPosition_;
    bool membersChanged_ = true;
    bool versionsChanged_ = false;
};

}
