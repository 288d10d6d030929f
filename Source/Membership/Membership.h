#pragma once

#include "Core/Clock.h"
#include "Membership/FailureDetector.h"
#include "Membership/IsolationDetector.h"
#include "Membership/Member.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipMessages.h"
#include "Membership/MembershipSettings.h"
#include "Membership/NonceClock.h"
#include "Membership/ProbeOrder.h"
#include "Membership/ViewCatchUp.h"
#include "Wire/PeerMessage.h"
#include "Wire/PeerMessageCodec.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace wisteriadock {

// A datagram from another balancer arrived. Message kinds of other protocols are ignored.
struct PeerMessageReceived {
    Endpoint from;
    PeerEnvelope envelope;
};

// One entry of the platform's list of VMs.
struct ListedVm {
    Endpoint peerAddress;
    bool isLeaving = false;
};

// The platform's list of VMs was read. The list may be stale, so it only supplies addresses to contact and never
// decides which members are alive or dead.
struct VmListReceived {
    std::vector<ListedVm> vms;
};

// Action: send this message to another balancer.
struct SendPeerMessage {
    Endpoint to;
    PeerEnvelope envelope;
};

// Action: use this view from now on.
struct MembersViewChanged {
    std::shared_ptr<const MembersView> view;
};

using MembershipAction = std::variant<SendPeerMessage, MembersViewChanged>;
using MembershipActions = std::vector<MembershipAction>;

// The membership protocol: tracks which balancers are alive, at a cost per balancer that does not grow with the size of
// the fleet. As in SWIM, it probes random members directly and indirectly, and gossip is piggybacked on the heartbeats
// (docs/design/membership.md). The control loops of balancer and forwarder call it, from one thread at a time: tick()
// at least every MembershipSettings::maxTickPeriod(), and handle() for each datagram. The caller performs
// the returned actions in order.
class Membership {
public:
    // The incarnation of self is the wall clock's milliseconds at the start of the process. It is raised if the fleet
    // already knows a higher one because the clock was set back; selfIncarnation() returns the current value.
    Membership(const MembershipSettings&, const Member& self, std::uint64_t seed, TimePoint now);
    // Not copyable, since data members refer to each other.
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    MembershipActions handle(const PeerMessageReceived&, TimePoint now);
    MembershipActions handle(const VmListReceived&, TimePoint now);
    MembershipActions tick(TimePoint now);
    MembershipActions setSelfState(MemberState, TimePoint now);
    MembershipActions setConfigurationVersion(std::uint64_t, TimePoint now);
    // Announces the planned stop of this balancer. tick() must still be called until the process ends.
    MembershipActions leave(TimePoint now);

    std::shared_ptr<const MembersView> view() const { return view_; }
    // The incarnation for the envelopes that this balancer sends.
    std::uint64_t selfIncarnation() const { return table_.self().member.incarnation; }
    // True once a complete view was read from other members. Never true for a balancer that is alone.
    bool hasCaughtUp() const { return catchUp_.isDone(); }
    // True if a complete view was read, no other member reported more members, and none was added for
    // MembershipSettings::settledAfter.
    bool isSettled(TimePoint now) const;

private:
    struct HeartbeatOptions {
        bool wantsAnswer = false;
        bool wantsDetails = false;
        bool withDetails = false;
        bool withPeerRow = false;
        // With rows of the members of the receiver's availability zone that have the fastest links.
        bool withZoneRows = false;
    };

    // An indirect probe that this balancer sends for another one.
    struct RelayedProbe {
        BalancerId target;
        Endpoint requester;
        std::uint32_t nonce = 0;
        TimePoint requestedAt;
    };

    void onHeartbeat(const Endpoint& from, const PeerEnvelope&, const HeartbeatMessage&, TimePoint now);
    void onProbeRequest(const MemberRecord& sender, const ProbeRequestMessage&, TimePoint now);
    void onProbeResult(const ProbeResultMessage&, TimePoint now);
    void onMembersRequest(const MemberRecord& sender, const MembersRequestMessage&);
    void onMembersPage(const MemberRecord& sender, const MembersPageMessage&, TimePoint now);

    void mergeRows(const std::vector<MemberRow>&, const Endpoint& source, bool propagate, TimePoint now);
    void refute(const MemberRow&, TimePoint now);
    void handleEcho(MemberRecord&, std::uint32_t echo, TimePoint now);
    void reportRelayedProbes(const MemberRecord&, TimePoint nonceSentAt);

    void recoverIfPaused(TimePoint now);
    void beginInterval(TimePoint now);
    void probeAll(TimePoint now);
    void probeSome(TimePoint now);
    void probeIndirectly(MemberRecord&, TimePoint now);
    void retryDead(TimePoint now);
    void contactUnknown(TimePoint now);
    void contactUnknown(std::size_t maxCount, TimePoint now);
    void scheduleCatchUp(TimePoint now);
    // Starts to read the whole view; the first page is requested from `source` if given.
    void startCatchUp(std::optional<BalancerId> source, TimePoint now);
    bool isCatchUpDue(std::uint32_t peerMembersKnown, TimePoint now) const;
    void requestPage(TimePoint now);
    // The member to request a page from: the one asked last, or else the one of a random sample that knows the most
    // members. The sample spreads the load, and members that have just started know only a few.
    const MemberRecord* pageSource();
    bool isNewcomer(TimePoint now) const { return now - startedAt_ < settings_.newcomerContactPeriod; }
    bool isJoining(TimePoint now) const { return now - startedAt_ < settings_.joiningPeriod; }
    void handleDetectorEvent(const DetectorEvent&, TimePoint now);

    void probeToJoin(TimePoint now);
    void probe(MemberRecord&, TimePoint now);
    void answer(const Endpoint& to, const MemberRecord* peer, HeartbeatOptions, TimePoint now);
    void sendHeartbeat(const Endpoint& to, const MemberRecord* peer, HeartbeatOptions, TimePoint now);
    void send(const Endpoint& to, PeerMessageKind, std::vector<std::uint8_t> payload);
    // Leaves out this many bytes of the gossip.
    void appendGossip(std::vector<MemberRow>&, std::size_t bytesUsed);
    void addToProbeOrders(TimePoint now);
    // Publishes a new view if one is due and returns the collected actions.
    MembershipActions finish(TimePoint now, bool endsInterval);

    // A small fleet, in which each member probes all others in each interval.
    bool isMesh() const { return table_.othersAlive() <= settings_.meshLimit; }
    ProbeOrder::Filter aliveFilter();
    std::vector<BalancerId> sampleAlive(std::size_t count);

    const MembershipSettings settings_;
    std::mt19937_64 random_;
    MemberTable table_;
    FailureDetector failureDetector_;
    NonceClock nonces_;
    IsolationDetector isolationDetector_;
    ViewCatchUp catchUp_;
    ProbeOrder probeOrder_;
    ProbeOrder zoneProbeOrder_;
    std::vector<RelayedProbe> relayedProbes_;
    // Addresses of the VM list that belong to no live member.
    std::vector<Endpoint> unknownAddresses_;

    std::uint64_t round_ = 0;
    const TimePoint startedAt_;
    TimePoint nextInterval_;
    TimePoint nextNewcomerContact_;
    TimePoint nextJoiningProbes_;
    TimePoint lastCatchUp_;
    // The member that pages are requested from.
    std::optional<BalancerId> pageSource_;
    // When the second catch-up of a new balancer is due.
    std::optional<TimePoint> secondCatchUp_;
    // The highest number of members that any heartbeat reported.
    std::uint32_t maxMembersKnownElsewhere_ = 0;
    TimePoint lastNewMemberAt_;
    TimePoint lastIncarnationRaise_ = TimePoint::min();
    // What is left of the budgets of the current interval.
    std::size_t answersLeft_ = 0;
    std::size_t verificationsLeft_ = 0;
    std::size_t indirectProbesLeft_ = 0;
    std::size_t gossipBytesLeft_ = 0;
    std::size_t antiEntropyRowsLeft_ = 0;
    std::size_t pagesLeft_ = 0;
    std::size_t detailRequestsLeft_ = 0;

    std::shared_ptr<const MembersView> view_;
    MembershipActions actions_;
};

}
