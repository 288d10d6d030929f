#include "Membership/ViewCatchUp.h"

namespace wisteriadock {

void ViewCatchUp::start()
{
    running_ = true;
    after_ = 0;
}

std::optional<std::uint32_t> ViewCatchUp::nextRequest()
{
    if (!running_ || pagesLeft_ == 0)
        return std::nullopt;
    --pagesLeft_;
    return after_;
}

void ViewCatchUp::received(std::uint32_t after, std::optional<std::uint32_t> lastId, bool isLastPage)
{
    if (!running_ || after != after_)
        return;
    if (isLastPage) {
        running_ = false;
        done_ = true;
    } else if (lastId && *lastId > after_) {
        after_ = *lastId;
    }
}

}
