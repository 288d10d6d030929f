#pragma once

#include "Core/Clock.h"
#include "Request/Admission.h"
#include "Request/BucketManager.h"
#include "Request/KeyDecision.h"
#include "Request/ParkedAttempts.h"
#include "Request/RefusalWriter.h"
#include "Request/RequestActions.h"
#include "Request/RetryPolicy.h"
#include "Request/WorkClaims.h"
#include "Request/WorkTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// Settings of a RequestRunner.
struct RunnerSettings {
    BalancerInstance self;
    ClaimLimits claims;
    AdmissionLimits admission;
    RetryLimits retries;
    // How long to wait for a backup's reply, and how long a request waits for claims to move to a new owner.
    std::chrono::milliseconds backupTimeout { 300 };
    std::chrono::milliseconds recoveryWait { 2000 };
    std::chrono::milliseconds maxDeadline { 60'000 };
    std::size_t maxParked = 1000;
    std::uint64_t seed = 0;
};

// Runs the requests of one balancer: non-idempotent ones whose keys it owns, and idempotent ones that it received.
//
// The steps of keyed work are: get a slot, send the claim to the backup, wait for its acknowledgement, check the
// deadline again, send the work. Attempts with the same key join the work in progress. A refusal that says "not run"
// first asks the backup whether this balancer still owns the key. The balancer's request control calls one of the
// functions below for each event and then executes takeActions(). Not thread-safe.
class RequestRunner {
public:
    explicit RequestRunner(const RunnerSettings& settings);
    RequestRunner(const RequestRunner&) = delete;
    RequestRunner& operator=(const RequestRunner&) = delete;

    void learnTerm(const ClaimTerm&, TimePoint now);
    // Reports an instance as terminated because its VM was removed. Restarts are detected from the members.
    void learnTerminated(const BalancerInstance& holder) { buckets_.learnTerminated(holder); }
    void configure(const Configuration&, const MembersView&, TimePoint now);

    void arrive(const KeyedAttempt&, TimePoint now);
    void arrive(const UnkeyedAttempt&, TimePoint now);
    // The caller disconnected or its balancer failed. Keyed work that was sent continues, so that a retry finds its
    // answer; idempotent work without waiters is cancelled.
    void cancel(AttemptId, TimePoint now);

    void workAnswered(WorkId, const SharedResponse&, TimePoint now);
    void workFailed(WorkId, HttpFailureKind, TimePoint now);
    // The server reported that it has no capacity for this time. Call it before workFailed, which itself pauses a
    // server that refused the work or was unreachable.
    void serverShed(BackendServerId server, std::chrono::milliseconds retryAfter, TimePoint now)
    {
        admission_.pauseServer(server, retryAfter, now);
    }

    void receive(const BalancerInstance& from, const RequestMessage&, TimePoint now);
    // To be called about every 20 ms.
    void tick(TimePoint now);

    std::vector<RequestAction> takeActions() { return std::exchange(actions_, {}); }

    // The text of a new ticket; empty while this balancer doesn't know the newest ownership epoch of its zone.
    std::optional<std::string> issueTicket(std::uint64_t high, std::uint64_t low) const;

    // For a planned stop: first announce to the members that this balancer leaves, then wait until this is true. While
    // the platform is unavailable, isReleased() can't become true; stopping when workUnderWay() is zero then loses the
    // second copy of the claims held here, not the only one.
    bool mayStop(TimePoint now) const { return workUnderWay() == 0 && buckets_.isReleased(now); }
    std::size_t workUnderWay() const { return works_.size() + parked_.size() + refusals_.waiting(); }
    const BucketManager& buckets() const { return buckets_; }
    const Admission& admission() const { return admission_; }

private:
    void decide(const KeyedAttempt&, TimePoint now);
    void park(const KeyedAttempt&, TimePoint now);
    void join(const KeyedAttempt&);
    void start(Work, TimePoint now);

    void processResults(TimePoint now);
    void addMessages(std::vector<OutgoingMessage>);
    void handleGrant(const SlotGrant&, TimePoint now);
    void handleSlotRefusal(const SlotRefusal&, TimePoint now);
    void claim(Work&, TimePoint now);
    void handleClaimReply(const ClaimReply&, TimePoint now);
    void send(Work&, TimePoint now);

    void giveUp(Work&, RefusalReason, std::chrono::milliseconds retryDelay, TimePoint now);
    // Removes work that was not sent, releases its slot and withdraws its claim.
    void drop(Work&, TimePoint now);
    void parkWork(Work&, TimePoint now);
    void refuseUnclaimed(Work&, TimePoint now);
    // To be called before this balancer stops acting under an epoch.
    void leaveEpoch(TimePoint now);

    void expireWaiters(TimePoint now);
    void expireWaiter(Work&, AttemptId, TimePoint now);
    void expireClaims(TimePoint now);

    RunnerSettings settings_;
    BucketManager buckets_;
    Admission admission_;
    RetryPolicy retries_;
    WorkTable works_;
    WorkClaims claims_;
    RefusalWriter refusals_;
    ParkedAttempts parked_;
    TimePoint nextFetchAt_;
    std::vector<RequestAction> actions_;
};

}
