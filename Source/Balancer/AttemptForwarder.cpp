#include "Balancer/AttemptForwarder.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // The time after which an owner that sends no acknowledgement counts as dead or paused. Long enough to send a large
    // body.
    constexpr auto acknowledgementTimeout = 1000ms;
    // Leaves time for the owner's response at the deadline, which tells more than "unknown", to arrive.
    constexpr auto answerLatencyAllowance = 100ms;

}

AttemptForwarder::AttemptForwarder(boost::asio::io_context& context, RequestMessageTransport& transport,
    const BalancerInstance& self, const Http2Limits& limits, ForwardHandlers handlers)
    : transport_(transport)
    , self_(self)
    , handlers_(std::move(handlers))
    , pendingForwards_(self, acknowledgementTimeout)
    , clients_(context, limits)
{
}

void AttemptForwarder::forward(AttemptId id, const HttpRequest& request, const KeyDigest& key,
    std::optional<RefusalReason> problem, const BalancerInstance& owner, TimePoint deadline)
{
    const TimePoint now = Clock::now();
    const Member* member = transport_.find(owner);
    if (!member) {
        handlers_.onRedirect(id, owner);
        return;
    }
    const ForwardToken token = pendingForwards_.open(id, key, owner, deadline + answerLatencyAllowance, now);
    const auto timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    const std::weak_ptr<int> alive = alive_;
    Hop hop { id, key, owner, member->requestAddress, 0 };
    hop.request = clients_.clientOf(hop.address)
                      .send(writeHop({ token, owner, std::max(timeLeft, 1us), problem, request }),
                          deadline + answerLatencyAllowance, [this, alive, token](HttpOutcome outcome) {
                              if (!alive.expired())
                                  finish(token, std::move(outcome));
                          });
    hops_.emplace(token.number, hop);
}

void AttemptForwarder::cancel(AttemptId id)
{
    pendingForwards_.cancel(id);
    closeHop(id);
}

void AttemptForwarder::closeHop(AttemptId id)
{
    const auto found = std::ranges::find_if(hops_, [&](const auto& entry) { return entry.second.id == id; });
    if (found == hops_.end())
        return;
    const Hop hop = found->second;
    hops_.erase(found);
    clients_.cancel(hop.address, hop.request);
}

void AttemptForwarder::applyMembers()
{
    std::set<BalancerInstance> owners;
    for (const auto& [number, hop] : hops_)
        owners.insert(hop.owner);
    for (const BalancerInstance& owner : owners) {
        const Member* member = transport_.find(owner);
        if (member && member->state != MemberState::Dead)
            continue;
        for (const AbandonedForward& lost : pendingForwards_.removeOwner(owner))
            abandon(lost);
    }
    clients_.keepOnly([&](Endpoint address) {
        return std::ranges::any_of(
            transport_.view()->members, [&](const Member& member) { return member.requestAddress == address; });
    });
}

void AttemptForwarder::tick(TimePoint now)
{
    for (const AbandonedForward& lost : pendingForwards_.expire(now))
        abandon(lost);
}

void AttemptForwarder::abandon(const AbandonedForward& lost)
{
    closeHop(lost.id);
    handlers_.onLost(lost.id, lost.reason);
}

void AttemptForwarder::finish(const ForwardToken& token, HttpOutcome outcome)
{
    const auto found = hops_.find(token.number);
    if (found == hops_.end())
        return;
    const Hop hop = found->second;
    hops_.erase(found);
    if (!outcome) {
        finishFailed(token, hop, outcome.error().kind);
        return;
    }
    auto answer = readHopAnswer(std::move(outcome.value()));
    if (!answer) {
        pendingForwards_.cancel(hop.id);
        handlers_.onLost(hop.id, RefusalReason::HomeUnreachable);
        return;
    }
    finishAnswered(token, hop, std::move(answer.value()));
}

// An attempt that provably never reached the owner may be sent again: the owner runs each key once.
void AttemptForwarder::finishFailed(const ForwardToken& token, const Hop& hop, HttpFailureKind kind)
{
    const bool neverArrived = kind == HttpFailureKind::NotSent || kind == HttpFailureKind::Refused;
    if (neverArrived && pendingForwards_.redirect(hop.owner, token)) {
        handlers_.onRedirect(hop.id, hop.owner);
        return;
    }
    pendingForwards_.cancel(hop.id);
    const bool isLate = kind == HttpFailureKind::DeadlineExceeded;
    handlers_.onLost(hop.id, isLate ? RefusalReason::DeadlinePassed : RefusalReason::HomeUnreachable);
}

void AttemptForwarder::finishAnswered(const ForwardToken& token, const Hop& hop, HopAnswer answer)
{
    if (answer.outcome == HopOutcome::Redirect && pendingForwards_.redirect(answer.owner, token)) {
        handlers_.onRedirect(hop.id, hop.owner);
        return;
    }
    const std::uint64_t received = answer.response.body.size();
    const PendingForwardTable::Resolved resolved
        = pendingForwards_.resolve(answer.owner, { token, hop.key, answer.declaredBytes, received });
    if (resolved.delivery != Delivery::Deliver || answer.outcome == HopOutcome::Redirect) {
        pendingForwards_.cancel(hop.id);
        handlers_.onLost(hop.id, RefusalReason::OutcomeUnknown);
    } else if (answer.outcome == HopOutcome::Refusal) {
        handlers_.onRefusal(hop.id, answer.refusal);
    } else {
        handlers_.onAnswer(hop.id, std::move(answer.response));
    }
}

}
