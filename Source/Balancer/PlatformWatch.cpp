#include "Balancer/PlatformWatch.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto minPause = 500ms;
    constexpr auto maxPause = 8000ms;
    // A watch without a change ends after at most this time, and the key is read. This limits how long a dead
    // connection or a restored platform goes unnoticed.
    constexpr auto maxWatchDuration = 5000ms;
    constexpr auto readTimeout = 2000ms;
    // The minimum time between calls, even without failures.
    constexpr auto minCallInterval = 100ms;

}

PlatformWatch::PlatformWatch(PlatformClient& platform, std::string key, std::uint64_t seed, Handler onEntry)
    : platform_(platform)
    , key_(std::move(key))
    , onEntry_(std::move(onEntry))
    , outageBackoff_(minPause, maxPause, seed)
    , retryBackoff_(minPause, maxPause, seed)
    , watchDuration_(maxWatchDuration, maxWatchDuration, seed)
{
}

void PlatformWatch::poll(TimePoint now)
{
    if (isWaiting_ || now < nextCall_)
        return;
    isWaiting_ = true;
    nextCall_ = now + minCallInterval;
    if (readsNext_)
        read(now);
    else
        watch(now);
}

void PlatformWatch::retry(TimePoint now)
{
    revision_ = 0;
    nextCall_ = now + retryBackoff_.next();
}

void PlatformWatch::watch(TimePoint now)
{
    const std::weak_ptr<int> alive = alive_;
    platform_.watch(key_, revision_, now + watchDuration_.next(), [this, alive](const Result<PlatformEntry>& entry) {
        if (!alive.expired())
            finishWatch(entry);
    });
}

// A platform that was restored from an older copy continues from a lower revision, so a watch for revisions above the
// last known one may not return although the key changes. Reading the key detects this.
void PlatformWatch::read(TimePoint now)
{
    const std::weak_ptr<int> alive = alive_;
    platform_.get(key_, now + readTimeout, [this, alive](const Result<PlatformEntry>& entry) {
        if (!alive.expired())
            finishRead(entry);
    });
}

void PlatformWatch::finishWatch(const Result<PlatformEntry>& entry)
{
    isWaiting_ = false;
    if (entry) {
        noteReachable();
        handleEntry(entry.value());
    } else if (entry.error().code == ErrorCode::NotFound) {
        readsNext_ = true;
        noteReachable();
    } else {
        noteUnreachable(entry.error());
    }
}

void PlatformWatch::finishRead(const Result<PlatformEntry>& entry)
{
    isWaiting_ = false;
    if (!entry && entry.error().code != ErrorCode::NotFound) {
        noteUnreachable(entry.error());
        return;
    }
    readsNext_ = false;
    noteReachable();
    if (!entry) {
        revision_ = 0;
        return;
    }
    // A restored platform may reuse a revision for another value.
    if (entry.value().revision != revision_ || entry.value().value != value_)
        handleEntry(entry.value());
}

void PlatformWatch::handleEntry(const PlatformEntry& entry)
{
    if (entry.value != value_)
        retryBackoff_.reset();
    readsNext_ = false;
    revision_ = entry.revision;
    value_ = entry.value;
    onEntry_(entry);
}

void PlatformWatch::noteReachable()
{
    if (std::exchange(isUnreachable_, false))
        log_.info("reachable again");
    outageBackoff_.reset();
}

void PlatformWatch::noteUnreachable(const Error& error)
{
    if (!std::exchange(isUnreachable_, true))
        log_.warning(fmt::format("unreachable: {}", error.toString()));
    // The platform may come back as an older copy.
    readsNext_ = true;
    nextCall_ = Clock::now() + outageBackoff_.next();
}

}
