#pragma once

#include "Core/Clock.h"
#include "Request/BucketManager.h"
#include "Request/RequestActions.h"
#include "Request/WorkTable.h"

#include <chrono>

namespace wisteriadock {

// What to do with an attempt that reached this balancer.
enum class KeyStep {
    Park, // Wait until the claims are recovered or the newest epoch is known.
    Redirect, // Another balancer owns the key.
    Join, // Work for the key is in progress here; wait for its outcome.
    Answer, // Send the kept answer.
    RefuseUnknown,
    RefuseNotRun, // After the backup has confirmed the ownership.
    Start, // Start new work.
};

struct KeyDecision {
    KeyStep step = KeyStep::Park;
    // For RefuseUnknown and RefuseNotRun.
    RefusalReason reason = RefusalReason::NotReady;
    std::chrono::milliseconds retryDelay { 0 };
    // For Answer.
    SharedResponse answer;
};

// Decides how to handle an attempt from the local records of its key. Has no side effects.
KeyDecision decideKey(const KeyedAttempt&, const BucketManager&, const WorkTable&, TimePoint now);

}
