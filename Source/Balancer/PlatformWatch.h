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

// Follows one key of the platform: a watch at a time, with growing pauses while the platform is out. ConfigurationFeed
// calls poll() often; whether and when a call goes out is decided here.
class PlatformWatch {
public:
    using Handler = std::function<void(const PlatformEntry&)>;

    // The platform outlives the watch. The handler gets the key's value once at first and then after each change.
    PlatformWatch(PlatformClient&, std::string key, std::uint64_t seed, Handler);

    // Sends the next call when it is due and none is waiting.
    void poll(TimePoint now);
    // The value could not be used: hands it over again, after a pause.
    void retry(TimePoint now);
    // Whether the last call went unanswered.
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
    // What was handed over last.
    std::uint64_t revision_ = 0;
    std::string value_;
    // Whether the next call reads the key outright.
    bool readsNext_ = false;
    bool isWaiting_ = false;
    bool isUnreachable_ = false;
    TimePoint nextCall_;
    // Answers hold it weakly: the platform may answer after this object is gone.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}
