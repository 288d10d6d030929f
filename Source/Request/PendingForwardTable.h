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

// Identifies one forwarded attempt. The owner repeats the token in all replies. A restarted balancer has another
// incarnation, so replies to its earlier instance match nothing.
struct ForwardToken {
    BalancerInstance entry;
    std::uint64_t number = 0;

    auto operator<=>(const ForwardToken&) const = default;
};

// Describes the answer to a forwarded attempt, without its body.
struct ForwardedAnswer {
    ForwardToken token;
    KeyDigest key;
    // Size announced by the answer, and bytes received.
    std::uint64_t declaredBytes = 0;
    std::uint64_t receivedBytes = 0;
};

enum class Delivery {
    Deliver,
    Drop, // Late, repeated or for another attempt: delivered to nobody.
    Incomplete, // Truncated: the caller gets an error that says "unknown", never a truncated success.
};

// A forward that ended without the owner's answer. The work may have run, so the attempt is refused as unknown.
struct AbandonedForward {
    AttemptId id = 0;
    RefusalReason reason = RefusalReason::HomeUnreachable;
};

// Attempts that this balancer has forwarded to the owners of their keys. Matches answers to attempts. Called by the
// balancer that received the requests. The owner acknowledges a forwarded attempt at once, so an unresponsive owner is
// detected after acknowledgeTimeout and not at the request's deadline.
class PendingForwardTable {
public:
    PendingForwardTable(const BalancerInstance& self, std::chrono::milliseconds acknowledgeTimeout);

    ForwardToken open(AttemptId, const KeyDigest&, const BalancerInstance& owner, TimePoint deadline, TimePoint now);
    void acknowledge(const BalancerInstance& from, const ForwardToken&);

    // Matches an answer to its attempt and removes the entry; id is set for Deliver and Incomplete.
    struct Resolved {
        Delivery delivery = Delivery::Drop;
        AttemptId id = 0;
    };
    Resolved resolve(const BalancerInstance& from, const ForwardedAnswer&);
    // The owner rejected the attempt because it does not own the key. Removes the entry; the caller may open() it
    // again.
    std::optional<AttemptId> redirect(const BalancerInstance& from, const ForwardToken&);

    // Removes the entry of an attempt whose caller disconnected. Returns the owner to notify.
    struct Forward {
        BalancerInstance owner;
        ForwardToken token;
    };
    std::optional<Forward> cancel(AttemptId);

    // Abandons all forwards to an owner that the members' view reports dead.
    std::vector<AbandonedForward> removeOwner(const BalancerInstance&);
    // Abandons forwards that were not acknowledged in time or are past their deadline.
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
