#pragma once

#include "Core/Clock.h"
#include "Request/ClaimMessages.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace wisteriadock {

// A non-idempotent request that reached the balancer that this one's shell believes to own its key.
struct KeyedAttempt {
    AttemptId id = 0;
    RequestKey key;
    // Hash of service, method, path and body: a key belongs to one content.
    std::uint64_t fingerprint = 0;
    ServiceId service;
    TimePoint deadline;
    // Set for a request that must not run (RequestCheck.h): the answer is a refusal that is true of the key.
    std::optional<RefusalReason> problem;
};

// An idempotent request, handled by whichever balancer took it in.
struct UnkeyedAttempt {
    AttemptId id = 0;
    ServiceId service;
    TimePoint deadline;
};

// Send the content of this try to the server, with the deadline and a Cancel-able stream. Report with workAnswered or
// workFailed. Keep no copy: a further attempt is another StartWork.
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

// The final answer of a try: what the backend server said, whole.
struct AnswerAttempt {
    AttemptId id = 0;
    SharedResponse answer;
};

// The final answer of a try: a refusal.
struct RefuseAttempt {
    AttemptId id = 0;
    Refusal refusal;
};

// This balancer does not own the key, and has not sent the work for this try: route it again. The epoch is the newest
// one that this balancer knows of.
struct RedirectAttempt {
    AttemptId id = 0;
    std::uint64_t epoch = 0;
};

// Read the zone's ownership record, from the platform or a peer: a newer one exists.
struct FetchTerm { };

using RequestAction
    = std::variant<StartWork, CancelWork, AnswerAttempt, RefuseAttempt, RedirectAttempt, OutgoingMessage, FetchTerm>;

}
