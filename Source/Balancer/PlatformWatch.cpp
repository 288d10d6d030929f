#include "Balancer/PlatformWatch.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto shortestPause = 500ms;
    constexpr auto longestPause = 8000ms;
    // A watch is asked anew after at most this time, so that a connection which died without a word is noticed.
    constexpr auto longestWatch = 10'000ms;
    constexpr auto getDeadline = 2000ms;
    // Even where nothing fails, calls never follow each other faster than this.
    constexpr auto shortestGap = 100ms;
    // After so many watches without news the key is read outright.
    constexpr unsigned quietWatchesBeforeGet = 6;

}

PlatformWatch::PlatformWatch(PlatformClient& platform, std::string key, std::uint64_t seed, Handler onEntry)
    : platform_(platform)
    , key_(std::move(key))
    , onEntry_(std::move(onEntry))
    , backoff_(shortestPause, longestPause, seed)
    , lengths_(longestWatch, longestWatch, seed)
{
}

void PlatformWatch::poll(TimePoint now)
{
    if (isWaiting_ || now < nextCall_)
        return;
    isWaiting_ = true;
    nextCall_ = now + shortestGap;
    if (quietWatches_ < quietWatchesBeforeGet)
        watch(now);
    else
        confirm(now);
}

void PlatformWatch::retry(TimePoint now)
{
    revision_ = 0;
    nextCall_ = now + backoff_.next();
}

void PlatformWatch::watch(TimePoint now)
{
    const std::weak_ptr<int> alive = alive_;
    platform_.watch(key_, revision_, now + lengths_.next(), [this, alive](const Result<PlatformEntry>& entry) {
        if (alive.expired())
            return;
        finish(entry);
    });
}

// A platform that was restored from an older copy counts its revisions from a lower one. A watch for what comes after
// the revision that was seen before would then stay silent for a long time, whatever is written; one would notice it as
// a configuration that is accepted but never in force. Reading the key outright shows its present revision.
void PlatformWatch::confirm(TimePoint now)
{
    quietWatches_ = 0;
    const std::weak_ptr<int> alive = alive_;
    platform_.get(key_, now + getDeadline, [this, alive](const Result<PlatformEntry>& entry) {
        if (alive.expired())
            return;
        const bool isUnchanged = entry && entry.value().revision == revision_;
        if (!isUnchanged) {
            finish(entry);
            return;
        }
        isWaiting_ = false;
        noteReachable();
    });
}

void PlatformWatch::finish(const Result<PlatformEntry>& entry)
{
    isWaiting_ = false;
    if (entry) {
        noteReachable();
        takeEntry(entry.value());
    } else if (entry.error().code == ErrorCode::NotFound) {
        ++quietWatches_;
        noteReachable();
    } else {
        noteOut(entry.error());
    }
}

void PlatformWatch::takeEntry(const PlatformEntry& entry)
{
    quietWatches_ = 0;
    revision_ = entry.revision;
    onEntry_(entry);
}

void PlatformWatch::noteReachable()
{
    if (std::exchange(isOut_, false))
        log_.info("answers again");
    backoff_.reset();
}

void PlatformWatch::noteOut(const Error& error)
{
    if (!std::exchange(isOut_, true))
        log_.warning(fmt::format("is out: {}", error.toString()));
    nextCall_ = Clock::now() + backoff_.next();
}

}
