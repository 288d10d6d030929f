#include "Core/ResourceUsage.h"

#include <malloc.h>
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
    ResourceUsage result;
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0)
        result.processorTime = durationOf(usage.ru_utime) + durationOf(usage.ru_stime);
    const struct mallinfo2 heap = mallinfo2();
    result.heapKilobytes = (heap.uordblks + heap.hblkhd) / 1024;
    return result;
}

}
