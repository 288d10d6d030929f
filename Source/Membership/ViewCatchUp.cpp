#include "Membership/ViewCatchUp.h"

namespace wisteriadock {

void ViewCatchUp::start()
{
    running_ = true;
    after_ = 0;
    requestedAt_.reset();
}

bool ViewCatchUp::mayRequest(TimePoint now) const
{
    return running_ && pagesLeft_ > 0 && (!requestedAt_ || isOverdue(now));
}

std::uint32_t ViewCatchUp::request(TimePoint now)
{
    --pagesLeft_;
    requestedAt_ = now;
    return after_;
}

void ViewCatchUp::received(std::uint32_t after, std::optional<std::uint32_t> lastId, bool isLastPage)
{
    if (!running_ || after != after_)
        return;
    requestedAt_.reset();
    if (isLastPage) {
        running_ = false;
        done_ = true;
    } else if (lastId && *lastId > after_) {
        after_ = *lastId;
    }
}

}
