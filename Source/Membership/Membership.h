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

// A datagram of another balancer arrived. Messages of kinds that are not membership's are ignored.
struct PeerMessageReceived {
    Endpoint from;
    PeerEnvelope envelope;
};

struct ListedVm {
    Endpoint peerAddress;
    bool isLeaving = false;
};

// The platform's list of VMs was read. It lags, so it only says whom to contact, never who lives or is dead.
struct VmListReceived {
    std::vector<ListedVm> vms;
};

struct SendPeerMessage {
    Endpoint to;
    PeerEnvelope envelope;
};

struct MembersViewChanged {
    std::shared_ptr<const MembersView> view;
};

using MembershipAction = std::variant<SendPeerMessage, MembersViewChanged>;
using MembershipActions = std::vector<MembershipAction>;

// Knows which balancers there are, at a cost that does not grow with their number: random probes with indirect ones
// and news that rides on them, as in SWIM (docs/design/membership.md). The daemon's shell calls it, from one thread at
// a time: tick every 100 ms, handle for each datagram; it does what the returned actions say, in their order.
class Membership {
public:
    // The incarnation of self is the wall clock's milliseconds at the start of the process. Should the fleet know a
    // higher one, the clock having been set back, membership raises it: read it from selfIncarnation().
    Membership(const MembershipSettings&, const Member& self, std::uint64_t seed, TimePoint now);
    // The parts refer to each other.
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    MembershipActions handle(const PeerMessageReceived&, TimePoint now);
    MembershipActions handle(const VmListReceived&, TimePoint now);
    MembershipActions tick(TimePoint now);
    MembershipActions setSelfState(MemberState, TimePoint now);
    MembershipActions setConfigurationVersion(std::uint64_t, TimePoint now);
    // A planned stop begins: tells the others. Keep ticking until the process ends.
    MembershipActions leave(TimePoint now);

    std::shared_ptr<const MembersView> view() const { return view_; }
    // What envelopes of this balancer carry.
    std::uint64_t selfIncarnation() const { return table_.self().member.incarnation; }
    // True once a whole view was read from the peers; a balancer that is alone never gets there.
    bool hasCaughtUp() const { return catchUp_.isDone(); }
    // A whole view was read, nobody is known to know more members, and none was new lately.
    bool isSettled(TimePoint now) const;

private:
    struct HeartbeatOptions {
        bool wantsAnswer = false;
        bool wantsDetails = false;
        bool withDetails = false;
        bool withPeerRow = false;
    };

    // A probe that this balancer makes for another.
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
    void scheduleCatchUp(TimePoint now);
    // Reads the view, from this member first.
    void startCatchUp(std::optional<BalancerId> source, TimePoint now);
    bool isCatchUpDue(std::uint32_t peerMembersKnown, TimePoint now) const;
    void requestPage(TimePoint now);
    // Whom to ask for a page: whoever sent the last one, or else, of some members at random, the one that knows most.
    // Those that have just started know few, and not all may ask the same.
    const MemberRecord* pageSource();
    bool isJoining(TimePoint now) const { return now - startedAt_ < settings_.joiningPeriod; }
    void handleDetectorEvent(const DetectorEvent&, TimePoint now);

    void probe(MemberRecord&, TimePoint now);
    void answer(const Endpoint& to, const MemberRecord* peer, HeartbeatOptions, TimePoint now);
    void sendHeartbeat(const Endpoint& to, const MemberRecord* peer, HeartbeatOptions, TimePoint now);
    void send(const Endpoint& to, PeerMessageKind, std::vector<std::uint8_t> payload);
    void appendGossip(std::vector<MemberRow>&);
    void addToProbeOrders(TimePoint now);
    MembershipActions finish(TimePoint now, bool endsInterval);

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
    // Addresses of the VM list at which no known member lives.
    std::vector<Endpoint> unknownAddresses_;

    std::uint64_t round_ = 0;
    const TimePoint startedAt_;
    TimePoint nextInterval_;
    TimePoint lastCatchUp_;
    // Who is asked for pages.
    std::optional<BalancerId> pageSource_;
    std::optional<TimePoint> secondCatchUp_;
    // The most members that a heartbeat told of, and when a member came that was not known before.
    std::uint32_t maxMembersKnownElsewhere_ = 0;
    TimePoint lastNewMemberAt_;
    TimePoint lastIncarnationRaise_ = TimePoint::min();
    // What is left of the budgets of this interval.
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
