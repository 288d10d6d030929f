#include "Core/ResourceUsage.h"

#include <sys/resource.h>

namespace wisteriadock {

namespace {

    std::chrono::microseconds durationOf(const timeval& time)
    {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    }

}

ResourceUsage resourceUsage()
{
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) != 0)
        return {};
    return { durationOf(usage.ru_utime) + durationOf(usage.ru_stime), static_cast<std::uint64_t>(usage.ru_maxrss) };
}

}
