#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Core/Log.h"
#include "Flow/FlowEngine.h"
#include "KeyValue/PlatformTypes.h"
#include "Membership/Membership.h"
#include "Peers/PeerLink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisteriadock {

// Runs membership and the control side of the flow engine: gives them datagrams and ticks, and does what they ask for.
// It also says of this balancer how far it is in its life. Everything runs on the thread of the io_context.
class PeerControl {
public:
    using ViewHandler = std::function<void(const std::shared_ptr<const MembersView>&)>;
    using RequestHandler = std::function<void(const PeerEnvelope&)>;

    // The engine and the link outlive the control. The link's datagrams have to be given to receive().
    PeerControl(boost::asio::io_context&, PeerLink&, FlowEngine&, const Member& self, std::uint64_t seed);
    PeerControl(const PeerControl&) = delete;
    PeerControl& operator=(const PeerControl&) = delete;

    // The first handler runs after each change of the view, the second for each message about requests.
    void start(ViewHandler, RequestHandler);
    void receive(const PeerEnvelope&, Endpoint sender);
    void applyConfiguration(const std::shared_ptr<const Configuration>&, std::uint64_t version);
    // Balancers that there may be: the seeds of the settings and the platform's list.
    void applyVms(const std::vector<ListedVm>&);
    // Tells the others of the planned stop.
    void leave();

    const std::shared_ptr<const MembersView>& view() const { return view_; }
    // Datagrams that were no message, or of nobody that is known.
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
    PeerLink& socket_;
    FlowEngine& engine_;
    Membership membership_;
    ViewHandler onView_;
    RequestHandler onRequest_;
    std::shared_ptr<const MembersView> view_;
    const TimePoint startedAt_;
    // Set once it was told of balancers, and these are all itself.
    bool isOnlyListedBalancer_ = false;
    bool trustsView_ = false;
    MemberState state_ = MemberState::Joining;
    std::uint64_t configurationVersion_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t droppedMessages_ = 0;
};

}
