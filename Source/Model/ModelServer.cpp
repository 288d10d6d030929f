#include "Model/ModelServer.h"

#include <utility>

namespace wisteriadock {

bool ModelServer::submit(Duration work, Done done)
{
    if (running_ >= entry_.slots && waiting_.size() >= queue_)
        return false;
    ++acceptedCount_;
    if (running_ < entry_.slots)
        begin({ work, std::move(done) });
    else
        waiting_.push_back({ work, std::move(done) });
    return true;
}

void ModelServer::begin(Work work)
{
    ++running_;
    const auto length = std::chrono::duration_cast<Duration>(work.length * slowdown_);
    events_.after(length, [this, done = std::move(work.done)] { end(done); });
}

void ModelServer::end(const Done& done)
{
    --running_;
    if (!isAlive_)
        return;
    if (!waiting_.empty()) {
        Work next = std::move(waiting_.front());
        waiting_.pop_front();
        begin(std::move(next));
    }
    done();
}

}
