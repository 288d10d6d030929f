#include "Balancer/ProcessTime.h"

#include <ctime>

namespace wisteriadock {

namespace {

    double read(clockid_t clock)
    {
        timespec time {};
        ::clock_gettime(clock, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    }

}

double processCpuSeconds() { return read(CLOCK_PROCESS_CPUTIME_ID); }

double threadCpuSeconds() { return read(CLOCK_THREAD_CPUTIME_ID); }

}
