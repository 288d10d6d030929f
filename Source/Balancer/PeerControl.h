#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Core/Log.h"
#include "Flow/FlowEngine.h"
#include "KeyValue/PlatformTypes.h"
#include "Membership/Membership.h"
#include "Peers/PeerSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisteriadock {

// Drives membership and the control side of the flow engine: passes them datagrams and ticks, and carries out the
// actions that they return. It also sets this balancer's own member state. BalancerDaemon owns it. Everything runs on
// the thread of the io_context.
class PeerControl {
public:
    using ViewHandler = std::function<void(const std::shared_ptr<const MembersView>&)>;
    using RequestHandler = std::function<void(const PeerEnvelope&)>;

    // The engine and the socket must outlive this object. The caller passes the socket's datagrams to receive().
    PeerControl(boost::asio::io_context&, PeerSocket&, FlowEngine&, const Member& self, std::uint64_t seed);
    PeerControl(const PeerControl&) = delete;
    PeerControl& operator=(const PeerControl&) = delete;

    // The first handler runs after each change of the view, the second for each message about requests.
    void start(ViewHandler, RequestHandler);
    void receive(const PeerEnvelope&, Endpoint sender);
    void applyConfiguration(const std::shared_ptr<const Configuration>&, std::uint64_t version);
    // Passes membership the addresses of balancers that may exist: the seeds of the settings and the platform's VM
    // list.
    void applyVms(const std::vector<ListedVm>&);
    // Announces the planned stop to the other balancers.
    void leave();

    const std::shared_ptr<const MembersView>& view() const { return view_; }
    // Flow messages that could not be decoded or whose sender is no current member.
    std::uint64_t droppedMessages() const { return droppedMessages_; }

private:
    void scheduleTick();
    void tick();
    void updateState(TimePoint now);
    bool mayTrustView(TimePoint now) const;
    void receiveFlowMessage(const PeerEnvelope&, TimePoint now);
    void perform(const MembershipActions&, TimePoint now);
    void perform(const FlowActions&);
    void publish(std::shared_ptr<const MembersView>, TimePoint now);

    Log log_ { "peers" };
    boost::asio::steady_timer timer_;
    PeerSocket& socket_;
    FlowEngine& engine_;
    Membership membership_;
    ViewHandler onView_;
    RequestHandler onRequest_;
    std::shared_ptr<const MembersView> view_;
    const TimePoint startedAt_;
    // Whether the last VM list was not empty and named no balancer but this one.
    bool isOnlyListedBalancer_ = false;
    bool trustsView_ = false;
    MemberState state_ = MemberState::Joining;
    std::uint64_t configurationVersion_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t droppedMessages_ = 0;
};

}
