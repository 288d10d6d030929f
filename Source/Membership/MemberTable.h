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

// The result of merging a row that another balancer sent.
enum class MergeOutcome {
    Ignored, // Stale, malformed or already known, or a reported death that has to be verified first.
    Applied,
    NeedsDetails, // The member or its incarnation is unknown and the row has no details; request them.
    AboutSelf, // The row is about this balancer. The caller refutes it if needed.
};

// Holds the records of all members, merges rows received from other balancers into them, and selects the rows to send:
// gossip about recent changes, anti-entropy rows, and pages for a catch-up. Used by Membership.
class MemberTable {
public:
    MemberTable(const MembershipSettings&, const Member& self, TimePoint now);

    // With `propagate`, a change is queued as gossip. Rows read in a catch-up are not propagated, since other members
    // already have them.
    MergeOutcome merge(const MemberRow&, TimePoint now, bool propagate = true);

    MemberRecord& self() { return *self_; }
    const MemberRecord& self() const { return *self_; }
    MemberRecord* find(BalancerId);
    // The number of all members, including this balancer and dead ones.
    std::size_t size() const { return records_.size(); }
    // The number of members that are alive, without this balancer.
    std::size_t othersAlive() const { return othersAlive_; }
    std::vector<Endpoint> aliveAddresses() const;

    // These change this balancer's own row. A higher incarnation or sequence overrides what others report about it.
    void setSelfState(MemberState);
    void setConfigurationVersion(std::uint64_t);
    void setSelfIncarnation(std::uint64_t incarnation, std::uint32_t sequence);

    // These mark a member; suspicions and deaths are queued as gossip.
    void suspect(MemberRecord&, TimePoint now);
    void clearSuspicion(MemberRecord&);
    void declareDead(MemberRecord&, TimePoint now);
    // Restarts the suspicion timeout of all suspected members.
    void restartSuspicionTimeouts(TimePoint now);
    // Members that are suspected or have an unanswered probe.
    std::set<BalancerId>& unconfirmed() { return unconfirmed_; }
    // How long a suspected member has to refute the suspicion. Grows with the size of the fleet.
    Duration suspicionTimeout() const;

    // Members that were added or came back to life since the last call.
    std::vector<BalancerId> takeNewMembers();
    // A random dead member that did not leave as planned; nothing if there is none.
    std::optional<BalancerId> randomDead(std::mt19937_64&) const;
    // Removes dead members above the limits of MembershipSettings for tombstones.
    void dropOldTombstones(TimePoint now);

    // Gossip for one message. `bytes` is the approximate size allowed, and is reduced by the size used.
    std::vector<MemberRow> takeGossip(std::size_t& bytes);
    // Rows without details of the next members, round-robin in the order of ids.
    std::vector<MemberRow> takeAntiEntropyRows(std::size_t count);
    // Rows with details of the members after an id, as many as fit into one datagram. `isLast` is set to whether no
    // member follows.
    std::vector<MemberRow> page(std::uint32_t afterId, bool& isLast) const;
    // The same, limited by the number of rows instead of their size.
    std::vector<MemberRow> rowsAfter(std::uint32_t afterId, std::size_t maxRows, bool& isLast) const;
    // Rows with details of the live members of an availability zone with the fastest links. Adds their approximate size
    // to `bytes`.
    std::vector<MemberRow> fastestOf(const std::string& availabilityZone, std::size_t count, std::size_t& bytes) const;
    // Rows with details of these members, as many as fit into one datagram.
    std::vector<MemberRow> rowsOf(const std::vector<std::uint32_t>& ids) const;

    // True if a view published now would differ in more than configuration versions.
    bool membersChanged() const { return membersChanged_; }
    // True if other members' configuration versions changed since the last published view.
    bool versionsChanged() const { return versionsChanged_; }
    // Creates a view of the current members and resets both change flags.
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
    // Dead members, oldest first.
    std::deque<BalancerId> tombstones_;
    GossipQueue gossip_;
    // The id of the last anti-entropy row sent.
    BalancerId antiEntropyPosition_;
    bool membersChanged_ = true;
    bool versionsChanged_ = false;
};

}
