#pragma once

#include "KeyValue/PlatformTypes.h"

#include <concepts>

namespace wisteriadock {

// The platform's key-value service as the rest of the code sees it. Every call is asynchronous, has a deadline and ends
// exactly once. Errors: NotFound; Conflict (a compare-and-swap lost; the detail holds the current revision);
// Unavailable (not reached, so nothing was done); Unknown (a write's answer is lost: it may have taken effect);
// DeadlineExceeded (for reads).
template <typename T>
concept PlatformService = requires(T& platform, std::string key, std::string value, std::uint64_t revision,
    std::optional<std::uint64_t> lease, std::chrono::milliseconds time, TimePoint deadline,
    std::function<void(Result<PlatformEntry>)> onEntry, std::function<void(Result<std::uint64_t>)> onRevision,
    std::function<void(Result<PlatformLease>)> onLease, std::function<void(Result<std::vector<Vm>>)> onVms)
{
    platform.get(key, deadline, onEntry);
    // Writes if the key's revision is still the given one; 0 means that the key must not exist.
    platform.compareAndSwap(key, revision, value, lease, deadline, onRevision);
    // Answers when the key's revision is above the given one, or with NotFound when nothing changed by the deadline.
    platform.watch(key, revision, deadline, onEntry);
    platform.grantLease(time, deadline, onLease);
    platform.keepAlive(revision, deadline, onLease);
    platform.listVms(deadline, onVms);
};

}
