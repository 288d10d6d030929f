// Entry point of libFuzzer for the target selected by the build.
#include "Fuzz/FuzzTargets.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// The build defines the target name; the fallback lets tools parse the file without the build flags.
#ifndef WISTERIADOCK_FUZZ_TARGET
#define WISTERIADOCK_FUZZ_TARGET ""
#endif

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    for (const wisteriadock::FuzzTarget& target : wisteriadock::fuzzTargets()) {
        if (target.name == std::string_view(WISTERIADOCK_FUZZ_TARGET))
            target.run({ data, size });
    }
    return 0;
}
