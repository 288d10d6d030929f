#pragma once

#include "Core/Clock.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wisteriadock {

// Names one forwarded try to the owner, which repeats it in everything that it says about the try. A balancer that
// starts again has another incarnation, so an answer to its earlier life matches nothing.
struct ForwardToken {
    BalancerInstance entry;
    std::uint64_t number = 0;

    auto operator<=>(const ForwardToken&) const = default;
};

// What is said of a forwarded try, without its body.
struct ForwardedAnswer {
    ForwardToken token;
    KeyDigest key;
    // What the answer was declared to hold, and what arrived.
    std::uint64_t declaredBytes = 0;
    std::uint64_t receivedBytes = 0;
};

enum class Delivery {
    Deliver,
    Drop, // Late, repeated, or somebody else's: nobody gets it.
    Incomplete, // Cut short: the caller gets an error that says "unknown", never a short success.
};

// A try that ends without the owner's answer. The work may have run: these are refused as unknown.
struct AbandonedForward {
    AttemptId id = 0;
    RefusalReason reason = RefusalReason::HomeUnreachable;
};

// Tries that one balancer forwarded to the owners of their keys, and who gets which answer.
// Called by the shell of the balancer that took the requests in. The owner acknowledges a forwarded try at once, so
// that one that is dead or paused is noticed after the timeout and not at the request's deadline.
class PendingForwardTable {
public:
    PendingForwardTable(const BalancerInstance& self, std::chrono::milliseconds acknowledgeTimeout);

    ForwardToken open(AttemptId, const KeyDigest&, const BalancerInstance& owner, TimePoint deadline, TimePoint now);
    void acknowledge(const BalancerInstance& from, const ForwardToken&);

    // Finds out whose answer this is; try id is set for Deliver and Incomplete. The try is closed then.
    struct Resolved {
        Delivery delivery = Delivery::Drop;
        AttemptId id = 0;
    };
    Resolved resolve(const BalancerInstance& from, const ForwardedAnswer&);
    // The owner refused to own the key: the try is open again for another open().
    std::optional<AttemptId> redirect(const BalancerInstance& from, const ForwardToken&);

    // The caller left. Returns whom to tell.
    struct Forward {
        BalancerInstance owner;
        ForwardToken token;
    };
    std::optional<Forward> cancel(AttemptId);

    // The owner is dead as far as the members' view goes; all it had is given up at once.
    std::vector<AbandonedForward> removeOwner(const BalancerInstance&);
    // Gives up what was not acknowledged in time or is past its deadline.
    std::vector<AbandonedForward> expire(TimePoint now);

    std::size_t open() const { return entries_.size(); }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Entry {
        AttemptId id = 0;
        KeyDigest key;
        BalancerInstance owner;
        TimePoint deadline;
        TimePoint acknowledgeDeadline;
        bool isAcknowledged = false;
    };

    std::map<std::uint64_t, Entry>::iterator find(const BalancerInstance& from, const ForwardToken&);

    BalancerInstance self_;
    std::chrono::milliseconds acknowledgeTimeout_;
    std::map<std::uint64_t, Entry> entries_;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t dropped_ = 0;
};

}
