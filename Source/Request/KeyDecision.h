#pragma once

#include "Core/Clock.h"
#include "Request/BucketManager.h"
#include "Request/RequestActions.h"
#include "Request/WorkTable.h"

#include <chrono>

namespace wisteriadock {

// What is done with a try that reached this balancer.
enum class KeyStep {
    Park, // Wait until the claims are here, or the newest epoch is known.
    Redirect, // Another balancer owns the key.
    Join, // The work is under way here; share its end.
    Answer, // The kept answer.
    RefuseUnknown,
    RefuseNotRun, // Once the backup has confirmed the ownership.
    Start, // New work.
};

struct KeyDecision {
    KeyStep step = KeyStep::Park;
    // For the refusing steps.
    RefusalReason reason = RefusalReason::NotReady;
    std::chrono::milliseconds retryDelay { 0 };
    // For Answer.
    SharedResponse answer;
};

// Decides on one try by what this balancer holds of its key. Changes nothing.
KeyDecision decideKey(const KeyedAttempt&, const BucketManager&, const WorkTable&, TimePoint now);

}
