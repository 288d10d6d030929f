#include "StandIns/AnswerBody.h"

#include "Core/Hash.h"

#include <fmt/format.h>

#include <iterator>

namespace wisteriadock {

std::string answerBodyOf(std::string_view key, std::string_view backendServer, std::size_t size)
{
    const std::uint64_t seed = hashPair(hashString(key), hashString(backendServer));
    constexpr std::size_t blockSize = 16;
    std::string body;
    body.reserve(size + blockSize);
    for (std::uint64_t block = 0; body.size() < size; ++block)
        fmt::format_to(std::back_inserter(body), "{:016x}", hashPair(seed, block));
    body.resize(size);
    return body;
}

}
