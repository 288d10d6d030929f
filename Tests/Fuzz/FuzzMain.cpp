// The entry of libFuzzer for the target that the build names.
#include "Fuzz/FuzzTargets.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// The build says which; a linter that reads the file alone does not.
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
