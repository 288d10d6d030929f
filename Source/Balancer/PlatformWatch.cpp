#include "Balancer/PlatformWatch.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto minPause = 500ms;
    constexpr auto maxPause = 8000ms;
    // A watch without news ends after at most this time and the key is read outright. It bounds how long a connection
    // that died without a word, or a platform that was restored, goes unnoticed; for two calls in that time.
    constexpr auto maxWatchDuration = 5000ms;
    constexpr auto readTimeout = 2000ms;
    // Even where nothing fails, calls never follow each other faster than this.
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

// A platform that was restored from an older copy counts its revisions from a lower one. A watch for what comes after
// the revision that was seen before would then stay silent for a long time, whatever is written; one would notice it as
// a configuration that is accepted but never in force. Reading the key outright shows what it holds now.
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
    // A restored platform also gives the same revision again for another value.
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
        log_.info("answers again");
    outageBackoff_.reset();
}

void PlatformWatch::noteUnreachable(const Error& error)
{
    if (!std::exchange(isUnreachable_, true))
        log_.warning(fmt::format("is out: {}", error.toString()));
    // It may come back as an older copy of itself.
    readsNext_ = true;
    nextCall_ = Clock::now() + outageBackoff_.next();
}

}
