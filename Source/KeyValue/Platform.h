#pragma once

#include "KeyValue/PlatformTypes.h"

#include <concepts>

namespace wisteriadock {

// The interface of the platform's key-value service: PlatformClient in programs, FakePlatform in tests. Every call is
// asynchronous, has a deadline and runs its callback exactly once.
//
// Errors: NotFound; Conflict (the revision has changed; the detail holds the current one); Unavailable (the call had no
// effect); Unknown (a write may have taken effect, its answer is lost); DeadlineExceeded (reads only).
template <typename T>
concept PlatformService = requires(T& platform, std::string key, std::string value, std::uint64_t revision,
    std::optional<std::uint64_t> lease, std::chrono::milliseconds time, TimePoint deadline,
    std::function<void(Result<PlatformEntry>)> onEntry, std::function<void(Result<std::uint64_t>)> onRevision,
    std::function<void(Result<PlatformLease>)> onLease, std::function<void(Result<std::vector<Vm>>)> onVms)
{
    platform.get(key, deadline, onEntry);
    // Writes the value if the key still has the given revision; 0 means that the key must not exist.
    platform.compareAndSwap(key, revision, value, lease, deadline, onRevision);
    // Ends as soon as the key has a revision above the given one, or with NotFound shortly before the deadline.
    platform.watch(key, revision, deadline, onEntry);
    platform.grantLease(time, deadline, onLease);
    platform.keepAlive(revision, deadline, onLease);
    platform.listVms(deadline, onVms);
};

}
