#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Membership/Member.h"
#include "Request/ClaimMessages.h"
#include "Request/RequestTypes.h"
#include "Request/ServiceQueue.h"
#include "Request/SlotLoans.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace wisteriadock {

// A slot was granted: the work may be sent to this server.
struct SlotGrant {
    WorkId work = 0;
    BackendServerId server;
};

// The work gets no slot before its deadline.
struct SlotRefusal {
    WorkId work = 0;
    RefusalReason reason = RefusalReason::Overloaded;
    std::chrono::milliseconds retryDelay { 0 };
};

struct AdmissionLimits {
    std::size_t queueLength = 1000;
    // How long a lent slot stays reserved when its borrower fails; at least the longest request deadline.
    std::chrono::milliseconds longestLoan { 65'000 };
};

// Admission control: grants slots of backend servers to work. Every balancer has a fixed share of each server's slots
// (SlotShares.h) and borrows free slots from other balancers while its own queue waits. Work that can't meet its
// deadline is refused on arrival or as soon as waiting makes the deadline infeasible. Called by the RequestRunner,
// which takes grants, refusals and messages after each call.
class Admission {
public:
    Admission(const BalancerInstance& self, const AdmissionLimits& limits, std::uint64_t seed);

    void configure(const Configuration&, const MembersView&, TimePoint now);

    void request(WorkId, ServiceId, TimePoint deadline, TimePoint now);
    // Removes queued work; if the work holds a slot, releases it.
    void withdraw(WorkId, TimePoint now);
    // Releases the slot of work that ended. Only answered work contributes to the duration estimate.
    void release(WorkId, bool isAnswered, TimePoint now);
    // Sends no work to the server for at least the longer of retryAfter and its back-off.
    void pauseServer(BackendServerId, std::chrono::milliseconds retryAfter, TimePoint now);
    void tick(TimePoint now);

    void handle(const BalancerInstance& from, const BorrowSlot&, TimePoint now);
    void handle(const BalancerInstance& from, const SlotReply&, TimePoint now);
    void handle(const BalancerInstance& from, const ReturnSlot&, TimePoint now);

    std::vector<SlotGrant> takeGrants();
    std::vector<SlotRefusal> takeRefusals();
    std::vector<OutgoingMessage> takeMessages();

    std::size_t queued(ServiceId) const;
    std::uint32_t slotsInUse(BackendServerId) const;
    std::uint32_t shareOf(BackendServerId) const;

private:
    struct Server {
        BackendServer settings;
        std::uint32_t share = 0;
        // Slots used by own work and lent to other balancers.
        std::uint32_t inUse = 0;
        TimePoint addedAt;
        TimePoint pausedUntil;
        std::chrono::milliseconds backOff {};
        bool isConfigured = true;
    };

    struct Running {
        ServiceId service;
        BackendServerId server;
        TimePoint startedAt;
        // Set when the slot was borrowed: the lender and the nonce of the loan.
        std::optional<BalancerInstance> lender;
        std::uint64_t nonce = 0;
    };

    std::uint32_t usableSlots(const Server&, TimePoint now) const;
    std::uint32_t usableSlots(ServiceId, TimePoint now) const;
    Server* findFreeServer(ServiceId, TimePoint now);
    bool hasServer(ServiceId) const;
    void grant(WorkId, ServiceId, BackendServerId, TimePoint now);
    void refuse(WorkId, ServiceId, RefusalReason, TimePoint now);
    void dispatch(ServiceId, TimePoint now);
    void returnSlot(const Running&);

    BalancerInstance self_;
    AdmissionLimits limits_;
    std::mt19937_64 random_;
    std::map<BackendServerId, Server> servers_;
    std::map<ServiceId, ServiceQueue> queues_;
    absl::flat_hash_map<WorkId, Running> running_;
    SlotLoans loans_;
    bool isFirstConfiguration_ = true;
    std::vector<SlotGrant> grants_;
    std::vector<SlotRefusal> refusals_;
    std::vector<OutgoingMessage> messages_;
};

}
