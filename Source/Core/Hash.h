#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wisteriadock {

// Hashes that all balancers must agree on: XXH3 of xxHash, which gives the same value on every machine and in every
// version.
std::uint64_t hashBytes(const void* data, std::size_t size, std::uint64_t seed = 0);
std::uint64_t hashString(std::string_view text, std::uint64_t seed = 0);

// Hashes two values; the order of the arguments matters.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

}
