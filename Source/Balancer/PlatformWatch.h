#pragma once

#include "Core/Clock.h"
#include "Core/Log.h"
#include "KeyValue/PlatformClient.h"
#include "Peers/Backoff.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wisteriadock {

// Follows the value of one platform key with one call at a time, and backs off while the platform is unreachable.
// ConfigurationFeed calls poll() periodically.
class PlatformWatch {
public:
    using Handler = std::function<void(const PlatformEntry&)>;

    // The platform client must outlive the watch. The handler receives the key's current value and then each change.
    PlatformWatch(PlatformClient&, std::string key, std::uint64_t seed, Handler);

    // Sends the next call when it is due and none is pending.
    void poll(TimePoint now);
    // Must be called when the value could not be used: the handler receives it again after a backoff.
    void retry(TimePoint now);
    // Whether the last call failed to reach the platform.
    bool isUnreachable() const { return isUnreachable_; }

private:
    void watch(TimePoint now);
    void read(TimePoint now);
    void finishWatch(const Result<PlatformEntry>&);
    void finishRead(const Result<PlatformEntry>&);
    void handleEntry(const PlatformEntry&);
    void noteReachable();
    void noteUnreachable(const Error&);

    Log log_ { "platform" };
    PlatformClient& platform_;
    std::string key_;
    Handler onEntry_;
    Backoff outageBackoff_;
    Backoff retryBackoff_;
    Backoff watchDuration_;
    // The entry that the handler received last.
    std::uint64_t revision_ = 0;
    std::string value_;
    // Whether the next call reads the key instead of watching it.
    bool readsNext_ = false;
    bool isWaiting_ = false;
    bool isUnreachable_ = false;
    TimePoint nextCall_;
    // Callbacks hold it weakly: the platform may answer after this object is destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}
