#include "Balancer/PeerControl.h"

#include "Wire/PeerMessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickPeriod = 50ms;
    constexpr std::uint64_t ticksPerMembershipTick = 2;
    static_assert(ticksPerMembershipTick * tickPeriod <= MembershipSettings().maxTickPeriod());
    // A starting balancer that gets no answer from the balancers it was told of proceeds alone after this time.
    constexpr auto firstContactTimeout = 4s;

}

PeerControl::PeerControl(
    boost::asio::io_context& context, PeerSocket& socket, FlowEngine& engine, const Member& self, std::uint64_t seed)
    : timer_(context)
    , socket_(socket)
    , engine_(engine)
    , membership_({}, self, seed, Clock::now())
    , view_(membership_.view())
    , startedAt_(Clock::now())
{
}

void PeerControl::start(ViewHandler onView, RequestHandler onRequest)
{
    onView_ = std::move(onView);
    onRequest_ = std::move(onRequest);
    publish(membership_.view(), Clock::now());
    scheduleTick();
}

void PeerControl::scheduleTick()
{
    timer_.expires_after(tickPeriod);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void PeerControl::tick()
{
    const TimePoint now = Clock::now();
    if (++ticks_ % ticksPerMembershipTick == 0)
        perform(membership_.tick(now), now);
    if (!trustsView_ && mayTrustView(now)) {
        trustsView_ = true;
        perform(engine_.applyMembers(view_, now));
    }
    perform(engine_.tick(now));
    updateState(now);
}

// Before the others have answered, the view holds this balancer only. The engine would consider the tables settled
// without the exceptions that the others hold, and break their flows once it serves.
bool PeerControl::mayTrustView(TimePoint now) const
{
    return isOnlyListedBalancer_ || membership_.hasCaughtUp() || now - startedAt_ >= firstContactTimeout;
}

// The state is Serving only while the flow engine can decide alone, which it can't after a pause. If a fleet that was
// paused as a whole kept claiming to serve, each balancer would wait for another one to know the flows.
void PeerControl::updateState(TimePoint now)
{
    if (state_ == MemberState::Leaving || configurationVersion_ == 0)
        return;
    const MemberState state = engine_.isSynchronized() ? MemberState::Serving : MemberState::Joining;
    if (state == state_)
        return;
    state_ = state;
    log_.info(fmt::format("state is now {}", nameOf(state)));
    perform(membership_.setSelfState(state, now), now);
}

void PeerControl::receive(const PeerEnvelope& envelope, Endpoint sender)
{
    const TimePoint now = Clock::now();
    if (envelope.kind == PeerMessageKind::FlowControl)
        receiveFlowMessage(envelope, now);
    else if (envelope.kind == PeerMessageKind::Request)
        onRequest_(envelope);
    else
        perform(membership_.handle(PeerMessageReceived { sender, envelope }, now), now);
}

// Messages of an earlier incarnation refer to flows that the sender no longer knows, and replies need the address of a
// known member.
void PeerControl::receiveFlowMessage(const PeerEnvelope& envelope, TimePoint now)
{
    const Member* member = view_->find(envelope.sender);
    const bool isCurrent = member && envelope.sender != view_->self && member->state != MemberState::Dead
        && member->incarnation == envelope.senderIncarnation;
    const auto message = decodeMessage<FlowMessage>(envelope.payload);
    if (!isCurrent || !message) {
        ++droppedMessages_;
        return;
    }
    perform(engine_.handle(envelope.sender, message.value(), now));
}

void PeerControl::applyConfiguration(const std::shared_ptr<const Configuration>& configuration, std::uint64_t version)
{
    const TimePoint now = Clock::now();
    configurationVersion_ = version;
    perform(engine_.applyConfiguration(configuration, version, now));
    perform(membership_.setConfigurationVersion(version, now), now);
    updateState(now);
}

void PeerControl::applyVms(const std::vector<ListedVm>& vms)
{
    const TimePoint now = Clock::now();
    const Endpoint self = view_->findSelf()->peerAddress;
    const bool onlySelf
        = std::all_of(vms.begin(), vms.end(), [&](const ListedVm& vm) { return vm.peerAddress == self; });
    isOnlyListedBalancer_ = !vms.empty() && onlySelf;
    perform(membership_.handle(VmListReceived { vms }, now), now);
}

void PeerControl::leave()
{
    const TimePoint now = Clock::now();
    state_ = MemberState::Leaving;
    log_.info("leaving");
    perform(membership_.leave(now), now);
}

void PeerControl::perform(const MembershipActions& actions, TimePoint now)
{
    for (const MembershipAction& action : actions) {
        if (const auto* message = std::get_if<SendPeerMessage>(&action))
            socket_.send(message->to, message->envelope);
        else
            publish(std::get<MembersViewChanged>(action).view, now);
    }
}

void PeerControl::perform(const FlowActions& actions)
{
    for (const SendFlowMessage& action : actions) {
        // The engine repeats the messages that matter, so those to a member that has just left are dropped.
        const Member* receiver = view_->find(action.to);
        if (!receiver)
            continue;
        socket_.send(receiver->peerAddress,
            {
                .sender = view_->self,
                .senderIncarnation = membership_.selfIncarnation(),
                .kind = PeerMessageKind::FlowControl,
                .payload = encodeMessage(action.message),
            });
    }
}

void PeerControl::publish(std::shared_ptr<const MembersView> view, TimePoint now)
{
    if (view_->isolated != view->isolated)
        log_.info(view->isolated ? "no other balancer responds" : "other balancers respond");
    view_ = std::move(view);
    if (trustsView_)
        perform(engine_.applyMembers(view_, now));
    if (onView_)
        onView_(view_);
}

}
