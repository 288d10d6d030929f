#pragma once

#include "Core/Clock.h"
#include "Request/ClaimMessages.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace wisteriadock {

// A non-idempotent request that was routed to this balancer as the owner of its key.
struct KeyedAttempt {
    AttemptId id = 0;
    RequestKey key;
    // Hash of service, method, path and body: a key is valid for one content only.
    std::uint64_t fingerprint = 0;
    ServiceId service;
    TimePoint deadline;
    // Set for a request that must not run (RequestCheck.h). The owner refuses it and reports whether the key has run.
    std::optional<RefusalReason> problem;
};

// An idempotent request, handled by the balancer that received it.
struct UnkeyedAttempt {
    AttemptId id = 0;
    ServiceId service;
    TimePoint deadline;
};

// Send the content of this attempt to the server, with the deadline, on a stream that can be cancelled. Report the
// outcome by workAnswered or workFailed. Keep no copy of the content: a retry is another StartWork.
struct StartWork {
    WorkId work = 0;
    AttemptId content = 0;
    BackendServerId server;
    TimePoint deadline;
};

// Reset the work's stream. The failure that follows is reported as usual.
struct CancelWork {
    WorkId work = 0;
};

// The final answer to an attempt: the complete response of the backend server.
struct AnswerAttempt {
    AttemptId id = 0;
    SharedResponse answer;
};

// The final answer to an attempt: a refusal.
struct RefuseAttempt {
    AttemptId id = 0;
    Refusal refusal;
};

// This balancer does not own the key and has not sent the work for this attempt: route it again. The epoch is the
// newest that this balancer knows.
struct RedirectAttempt {
    AttemptId id = 0;
    std::uint64_t epoch = 0;
};

// Read the zone's ownership record from the platform or a peer: a newer one exists.
struct FetchTerm { };

using RequestAction
    = std::variant<StartWork, CancelWork, AnswerAttempt, RefuseAttempt, RedirectAttempt, OutgoingMessage, FetchTerm>;

}
