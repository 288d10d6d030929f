#include "Balancer/TryForwarder.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A dead or paused owner is noticed after this time. A large body takes its time to get there.
    constexpr auto acknowledgeTimeout = 1000ms;
    // The owner's own word at the deadline is better than "unknown" and needs its way back.
    constexpr auto answerTravelTime = 100ms;

}

TryForwarder::TryForwarder(boost::asio::io_context& context, HolderLink& link, const BalancerInstance& self,
    const Http2Limits& limits, ForwardEnds ends)
    : link_(link)
    , self_(self)
    , ends_(std::move(ends))
    , book_(self, acknowledgeTimeout)
    , clients_(context, limits)
{
}

void TryForwarder::forward(AttemptId id, const HttpRequest& request, const KeyDigest& key,
    std::optional<RefusalReason> problem, const BalancerInstance& owner, TimePoint deadline)
{
    const TimePoint now = Clock::now();
    const Member* member = link_.find(owner);
    if (!member) {
        ends_.onRedirect(id, owner);
        return;
    }
    const ForwardToken token = book_.open(id, key, owner, deadline + answerTravelTime, now);
    const auto timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    const std::weak_ptr<int> alive = alive_;
    Hop hop { id, key, owner, member->requestAddress, 0 };
    hop.request = clients_.of(hop.address)
                      .send(writeHop({ token, owner, std::max(timeLeft, 1us), problem, request }),
                          deadline + answerTravelTime, [this, alive, token](HttpOutcome outcome) {
                              if (!alive.expired())
                                  finish(token, std::move(outcome));
                          });
    hops_.emplace(token.number, hop);
}

void TryForwarder::cancel(AttemptId id)
{
    book_.cancel(id);
    closeHop(id);
}

void TryForwarder::closeHop(AttemptId id)
{
    const auto found = std::ranges::find_if(hops_, [&](const auto& entry) { return entry.second.id == id; });
    if (found == hops_.end())
        return;
    const Hop hop = found->second;
    hops_.erase(found);
    clients_.cancel(hop.address, hop.request);
}

void TryForwarder::applyMembers()
{
    std::set<BalancerInstance> owners;
    for (const auto& [number, hop] : hops_)
        owners.insert(hop.owner);
    for (const BalancerInstance& owner : owners) {
        const Member* member = link_.find(owner);
        if (member && member->state != MemberState::Dead)
            continue;
        for (const AbandonedForward& lost : book_.removeOwner(owner))
            abandon(lost);
    }
    clients_.keepOnly([&](Endpoint address) {
        return std::ranges::any_of(
            link_.view()->members, [&](const Member& member) { return member.requestAddress == address; });
    });
}

void TryForwarder::tick(TimePoint now)
{
    for (const AbandonedForward& lost : book_.expire(now))
        abandon(lost);
}

void TryForwarder::abandon(const AbandonedForward& lost)
{
    closeHop(lost.id);
    ends_.onLost(lost.id, lost.reason);
}

void TryForwarder::finish(const ForwardToken& token, HttpOutcome outcome)
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
        book_.cancel(hop.id);
        ends_.onLost(hop.id, RefusalReason::HomeUnreachable);
        return;
    }
    finishAnswered(token, hop, std::move(answer.value()));
}

// A try that provably never got to the owner may go again: the owner runs a key once however often it comes.
void TryForwarder::finishFailed(const ForwardToken& token, const Hop& hop, HttpFailureKind kind)
{
    const bool neverArrived = kind == HttpFailureKind::NotSent || kind == HttpFailureKind::Refused;
    if (neverArrived && book_.redirect(hop.owner, token)) {
        ends_.onRedirect(hop.id, hop.owner);
        return;
    }
    book_.cancel(hop.id);
    const bool isLate = kind == HttpFailureKind::DeadlineExceeded;
    ends_.onLost(hop.id, isLate ? RefusalReason::DeadlinePassed : RefusalReason::HomeUnreachable);
}

void TryForwarder::finishAnswered(const ForwardToken& token, const Hop& hop, HopAnswer answer)
{
    if (answer.ending == HopEnding::Redirect && book_.redirect(answer.owner, token)) {
        ends_.onRedirect(hop.id, hop.owner);
        return;
    }
    const std::uint64_t received = answer.response.body.size();
    const PendingForwardTable::Resolved settled
        = book_.resolve(answer.owner, { token, hop.key, answer.declaredBytes, received });
    if (settled.delivery != Delivery::Deliver || answer.ending == HopEnding::Redirect) {
        book_.cancel(hop.id);
        ends_.onLost(hop.id, RefusalReason::OutcomeUnknown);
    } else if (answer.ending == HopEnding::Refusal) {
        ends_.onRefusal(hop.id, answer.refusal);
    } else {
        ends_.onAnswer(hop.id, std::move(answer.response));
    }
}

}
