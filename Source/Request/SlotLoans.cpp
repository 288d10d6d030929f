#include "Request/SlotLoans.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds replyTimeout { 100 };
    constexpr std::chrono::milliseconds shortestPause { 10 };
    constexpr std::chrono::milliseconds longestPause { 640 };

    // Doubles with each full round of refusals.
    std::chrono::milliseconds pauseAfter(std::size_t refusals, std::size_t peers)
    {
        const std::size_t rounds = std::min<std::size_t>(refusals / std::max<std::size_t>(peers, 1), 10);
        return std::min(longestPause, rounds == 0 ? std::chrono::milliseconds(0) : shortestPause * (1 << rounds));
    }

}

void SlotLoans::setPeers(std::vector<BalancerInstance> peers) { peers_ = std::move(peers); }

std::optional<SlotLoans::BorrowRequest> SlotLoans::nextBorrowRequest(
    ServiceId service, TimePoint now, std::mt19937_64& random)
{
    if (peers_.empty())
        return std::nullopt;
    const auto [entry, isNew] = borrowStates_.try_emplace(service);
    BorrowState& state = entry->second;
    if (isNew)
        state.nextPeer = random();
    if (now < state.nextRequestAt)
        return std::nullopt;
    // A request without a reply counts as refused.
    if (state.isReplyPending)
        ++state.refusals;
    state.nonce = ++lastNonce_;
    state.to = peers_[state.nextPeer++ % peers_.size()];
    state.isReplyPending = true;
    state.nextRequestAt = now + replyTimeout;
    return BorrowRequest { state.to, state.nonce };
}

std::optional<ServiceId> SlotLoans::takeReply(const BalancerInstance& from, const SlotReply& reply, TimePoint now)
{
    for (auto& [service, state] : borrowStates_) {
        if (!state.isReplyPending || state.nonce != reply.nonce || state.to != from)
            continue;
        state.isReplyPending = false;
        state.refusals = reply.isLent ? 0 : state.refusals + 1;
        state.nextRequestAt = now + pauseAfter(state.refusals, peers_.size());
        return service;
    }
    return std::nullopt;
}

void SlotLoans::lend(const BalancerInstance& to, std::uint64_t nonce, BackendServerId server, TimePoint expiry)
{
    loans_[{ to, nonce }] = { server, expiry };
}

bool SlotLoans::endLoan(const BalancerInstance& from, std::uint64_t nonce) { return loans_.erase({ from, nonce }) > 0; }

std::vector<BackendServerId> SlotLoans::takeExpired(TimePoint now)
{
    std::vector<BackendServerId> expired;
    std::erase_if(loans_, [&](const auto& entry) {
        if (now < entry.second.expiry)
            return false;
        expired.push_back(entry.second.server);
        return true;
    });
    return expired;
}

}
