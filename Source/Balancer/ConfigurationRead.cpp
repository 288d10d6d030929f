#include "Balancer/ConfigurationRead.h"

#include <utility>

namespace wisteriadock {

void ConfigurationRead::start(std::string_view head, ConfigurationFetch fetch, Callback onDone)
{
    const auto job = std::make_shared<Job>(Job { ++jobs_, std::move(fetch), std::move(onDone) });
    *reading_ = job->number;
    advance(job, reader_.handleHead(head));
}

void ConfigurationRead::advance(const std::shared_ptr<Job>& job, HeadAction action)
{
    const auto* part = std::get_if<FetchPart>(&action);
    if (!part) {
        *reading_ = 0;
        job->onDone(std::move(action));
        return;
    }
    const std::weak_ptr<std::uint64_t> reading = reading_;
    job->fetch(part->key, [this, job, reading](const Result<std::string>& value) {
        // A newer head came meanwhile, or this object is gone.
        const auto current = reading.lock();
        if (current && *current == job->number)
            advance(job, reader_.handlePart(value));
    });
}

}
