#include "Core/Hash.h"

#include <xxhash.h>

namespace wisteriadock {

std::uint64_t hashBytes(const void* data, std::size_t size, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

std::uint64_t hashString(std::string_view text, std::uint64_t seed)
{
    return hashBytes(text.data(), text.size(), seed);
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    const std::uint64_t words[] = { first, second };
    return hashBytes(words, sizeof(words));
}

}
