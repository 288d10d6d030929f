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

// Slots that pass between balancers: whom to ask for one and how often, and which own ones are lent out.
// Refused questions are repeated ever more seldom, so that an overload of everybody costs few messages.
class SlotLoans {
public:
    void setPeers(std::vector<BalancerInstance> peers);

    // Whom to ask for a slot of the service now, if anybody; the caller sends the borrowRequest with the number.
    struct BorrowRequest {
        BalancerInstance to;
        std::uint64_t nonce = 0;
    };
    std::optional<BorrowRequest> nextBorrowRequest(ServiceId, TimePoint now, std::mt19937_64&);
    // Takes an answer; returns the service it was asked for if it still is of use.
    std::optional<ServiceId> takeReply(const BalancerInstance& from, const SlotReply&, TimePoint now);

    void lend(const BalancerInstance& to, std::uint64_t nonce, BackendServerId, TimePoint expiry);
    // Whether that loan was open; it is closed now.
    bool takeBack(const BalancerInstance& from, std::uint64_t nonce);
    // Servers whose loans ran out because the borrower vanished, one entry a slot.
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
