#pragma once

#include "Forward/RegisteredServer.h"
#include "Model/EventQueue.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace wisteriadock {

// The slots and the request queue of one simulated backend server. Owned by ModelBackends.
class ModelServer {
public:
    // Called when the work is done.
    using Done = std::function<void()>;

    ModelServer(EventQueue& events, RegisteredServer entry, std::uint32_t queue)
        : events_(events)
        , entry_(std::move(entry))
        , queue_(queue)
    {
    }

    const RegisteredServer& entry() const { return entry_; }
    // Runs or queues work of the given length. Returns false if all slots and the queue are full.
    bool submit(Duration work, Done);
    // Drops all running and queued work; their Done callbacks never run.
    void crash() { isAlive_ = false; }
    bool isAlive() const { return isAlive_; }
    // Multiplies the length of work that begins from now on.
    void setSlowdown(double factor) { slowdown_ = factor; }
    // The number of running and queued requests.
    std::uint32_t load() const { return running_ + static_cast<std::uint32_t>(waiting_.size()); }
    std::uint64_t acceptedCount() const { return acceptedCount_; }

private:
    struct Work {
        Duration length;
        Done done;
    };

    void begin(Work);
    void end(const Done&);

    EventQueue& events_;
    RegisteredServer entry_;
    std::uint32_t queue_;
    bool isAlive_ = true;
    double slowdown_ = 1;
    std::uint32_t running_ = 0;
    std::uint64_t acceptedCount_ = 0;
    std::deque<Work> waiting_;
};

}
