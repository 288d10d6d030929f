#pragma once

#include "Core/Clock.h"
#include "Request/ClaimMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace wisteriadock {

// Slots lent between balancers: selects the peer to ask and the time of the next request, and tracks the own slots that
// are lent out. Requests back off exponentially while peers refuse, so that a general overload causes few messages.
class SlotLoans {
public:
    void setPeers(std::vector<BalancerInstance> peers);

    // The peer to ask for a slot of the service now, if any. The caller sends it a BorrowSlot with the nonce.
    struct BorrowRequest {
        BalancerInstance to;
        std::uint64_t nonce = 0;
    };
    std::optional<BorrowRequest> nextBorrowRequest(ServiceId, TimePoint now, std::mt19937_64&);
    // Handles a reply; returns the service of the matching request, or nothing when the reply matches none.
    std::optional<ServiceId> takeReply(const BalancerInstance& from, const SlotReply&, TimePoint now);

    void lend(const BalancerInstance& to, std::uint64_t nonce, BackendServerId, TimePoint expiry);
    // Ends a loan; returns whether it was open.
    bool endLoan(const BalancerInstance& from, std::uint64_t nonce);
    // Servers of the loans that expired because the borrower failed, one entry per slot.
    std::vector<BackendServerId> takeExpired(TimePoint now);

private:
    struct BorrowState {
        std::uint64_t nonce = 0;
        BalancerInstance to;
        bool isReplyPending = false;
        TimePoint nextRequestAt;
        std::size_t nextPeer = 0;
        std::size_t refusals = 0;
    };
    struct Loan {
        BackendServerId server;
        TimePoint expiry;
    };

    std::vector<BalancerInstance> peers_;
    std::map<ServiceId, BorrowState> borrowStates_;
    std::map<std::pair<BalancerInstance, std::uint64_t>, Loan> loans_;
    std::uint64_t lastNonce_ = 0;
};

}
