#include "Balancer/ConfigurationDownload.h"

#include <utility>

namespace wisteriadock {

void ConfigurationDownload::start(std::string_view head, ConfigurationFetch fetch, Callback onDone)
{
    const auto job = std::make_shared<Job>(Job { ++lastJob_, std::move(fetch), std::move(onDone) });
    *currentJob_ = job->number;
    advance(job, reader_.handleHead(head));
}

void ConfigurationDownload::advance(const std::shared_ptr<Job>& job, HeadAction action)
{
    const auto* part = std::get_if<FetchPart>(&action);
    if (!part) {
        *currentJob_ = 0;
        job->onDone(std::move(action));
        return;
    }
    const std::weak_ptr<std::uint64_t> currentJob = currentJob_;
    job->fetch(part->key, [this, job, currentJob](const Result<std::string>& value) {
        // Ignored if a newer download has started or this object is destroyed.
        const auto current = currentJob.lock();
        if (current && *current == job->number)
            advance(job, reader_.handlePart(value));
    });
}

}
