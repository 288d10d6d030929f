#pragma once

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Net/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriadock {

// One HTTP request of one caller as the shell numbers it; never used again while the balancer runs.
using AttemptId = std::uint64_t;
// One piece of work that may be sent to a backend server; several tries with the same key share it.
using WorkId = std::uint64_t;

// What a refusal says about the work that the key names. There is no third answer.
enum class Executed {
    No, // No try with this key was sent to a backend server, and none known to the key's owner may still be.
    Unknown, // The work ran, may have run, or may still run.
};

std::string_view nameOf(Executed);

// Why a request is answered by the balancer and not by a backend server.
enum class RefusalReason {
    MissingKey, // A non-idempotent method without Idempotency-Key.
    MalformedKey,
    AbsurdDeadline,
    OversizedHeaders,
    OversizedBody,
    KeyReused, // The key came before with other content.
    InProgress, // The same work runs elsewhere at this moment.
    KeyTooOld, // Claims of the key's age have been forgotten.
    ClaimsLost, // Every holder of the key's claims vanished, and the key is not provably younger than that.
    OutcomeUnknown, // The work was sent and its answer was lost.
    AnswerNotKept, // The work ran and its answer is no longer, or never was, kept.
    DeadlinePassed,
    Overloaded, // The expected wait exceeds the deadline, or the queue's bound was reached.
    NoServer, // No backend server of the service takes new work.
    TableFull, // No room for another claim.
    ComeBackLater, // The key was refused moments ago; its time to come back has not been reached.
    NotReady, // The key's claims are on their way to a new owner.
    HomeUnreachable, // The key's home availability zone, or its owner there, can't be reached.
    BackupUnreachable, // The owner could not make sure that it still owns the key.
};

std::string_view nameOf(RefusalReason);

// The HTTP status that a reason is answered with.
int statusOf(RefusalReason);

// A final answer of the balancer itself.
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    Executed executed = Executed::Unknown;
    // For Retry-After; zero when coming back cannot help.
    std::chrono::seconds retryAfter { 0 };

    bool operator==(const Refusal&) const = default;
};

// A whole answer of a backend server, shared by all who get it.
using SharedResponse = std::shared_ptr<const HttpResponse>;

// One start of one balancer. A balancer that starts again is another holder: it has lost what the earlier one held.
struct BalancerInstance {
    BalancerId id;
    std::uint64_t incarnation = 0;

    auto operator<=>(const BalancerInstance&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const BalancerInstance& holder)
    {
        return HashState::combine(std::move(state), holder.id, holder.incarnation);
    }
};

}
