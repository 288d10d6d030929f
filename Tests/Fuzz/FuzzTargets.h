#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wisteriadock {

// A decoder of bytes that come from outside: it takes or refuses any input and never stops the process.
struct FuzzTarget {
    std::string_view name;
    void (*run)(std::span<const std::uint8_t> input);
};

// All of them, by name; the corpus of each lies in corpus/NAME.
std::span<const FuzzTarget> fuzzTargets();

}
