#include "Membership/ViewCatchUp.h"

namespace wisteriadock {

void ViewCatchUp::start()
{
    running_ = true;
    afterId_ = 0;
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
    return afterId_;
}

void ViewCatchUp::pageReceived(std::uint32_t afterId, std::optional<std::uint32_t> lastId, bool isLastPage)
{
    if (!running_ || afterId != afterId_)
        return;
    requestedAt_.reset();
    if (isLastPage) {
        running_ = false;
        done_ = true;
    } else if (lastId && *lastId > afterId_) {
        afterId_ = *lastId;
    }
}

}
