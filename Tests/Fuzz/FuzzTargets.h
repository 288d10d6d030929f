#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wisteriadock {

// Runs one decoder of untrusted input, which must accept or reject any bytes without ending the process. Called by the
// libFuzzer entry point and by CorpusTest.
struct FuzzTarget {
    std::string_view name;
    void (*run)(std::span<const std::uint8_t> input);
};

// All targets. The corpus of each is in corpus/NAME.
std::span<const FuzzTarget> fuzzTargets();

}
