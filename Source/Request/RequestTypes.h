#pragma once

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Net/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriadock {

// Identifies one HTTP request of one caller; not reused while the balancer runs.
using AttemptId = std::uint64_t;
// Identifies one piece of work that may be sent to a backend server; attempts with the same key share it.
using WorkId = std::uint64_t;

// What a refusal says about whether the work of the key ran.
enum class Executed {
    No, // No attempt with this key was sent to a backend server, and none known to the key's owner may still be.
    Unknown, // The work ran, may have run, or may still run.
};

std::string_view nameOf(Executed);

// Why a request is answered by the balancer instead of a backend server.
enum class RefusalReason {
    MissingKey, // A non-idempotent method without Idempotency-Key.
    MalformedKey,
    AbsurdDeadline,
    OversizedHeaders,
    OversizedBody,
    KeyReused, // The key was used before with other content.
    InProgress, // The same work is running elsewhere.
    KeyTooOld, // Claims as old as the key have been removed.
    ClaimsLost, // All holders of the key's claims were lost, and the key may be older than the loss.
    OutcomeUnknown, // The work was sent and its answer was lost.
    AnswerNotKept, // The work ran, but its answer is not kept.
    DeadlinePassed,
    Overloaded, // The expected wait exceeds the deadline, or the queue is full.
    NoServer, // No backend server of the service accepts new work.
    TableFull, // The claim table is full.
    ComeBackLater, // The key was refused recently and its retry time has not been reached.
    NotReady, // The key's claims are being moved to a new owner.
    HomeUnreachable, // The key's home availability zone, or its owner there, is unreachable.
    BackupUnreachable, // The owner could not confirm that it still owns the key.
};

std::string_view nameOf(RefusalReason);

// The HTTP status code for a reason.
int statusOf(RefusalReason);

// A final answer of the balancer itself.
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    Executed executed = Executed::Unknown;
    // Value of Retry-After; zero when a retry cannot help.
    std::chrono::seconds retryAfter { 0 };

    bool operator==(const Refusal&) const = default;
};

// A complete response of a backend server, shared by all attempts that receive it.
using SharedResponse = std::shared_ptr<const HttpResponse>;

// One run of one balancer process. A restarted balancer is another instance: it has lost the claims of the earlier one.
struct BalancerInstance {
    BalancerId id;
    std::uint64_t incarnation = 0;

    auto operator<=>(const BalancerInstance&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const BalancerInstance& instance)
    {
        return HashState::combine(std::move(state), instance.id, instance.incarnation);
    }
};

}
