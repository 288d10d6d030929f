#pragma once

namespace wisteriadock {

// Processor time since the start, in seconds: of all threads of the process, and of the calling thread.
double processCpuSeconds();
double threadCpuSeconds();

}
