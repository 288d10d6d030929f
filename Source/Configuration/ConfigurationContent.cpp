#include "Configuration/ConfigurationContent.h"

#include "Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::size_t contentHashDigits = 32;
    // Two seeds, since the content hash concatenates two 64-bit hashes.
    constexpr std::uint64_t firstHashSeed = 0x636f6e66;
    constexpr std::uint64_t secondHashSeed = 0x69677572;

}

std::string contentHashOf(std::string_view text)
{
    return fmt::format("{:016x}{:016x}", hashString(text, firstHashSeed), hashString(text, secondHashSeed));
}

bool isContentHash(std::string_view text)
{
    return text.size() == contentHashDigits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::size_t contentPartCount(std::size_t bytes)
{
    return std::max<std::size_t>(1, (bytes + maxContentPartBytes - 1) / maxContentPartBytes);
}

std::vector<std::string> splitContent(std::string_view text)
{
    std::vector<std::string> parts;
    for (std::size_t index = 0; index < contentPartCount(text.size()); ++index)
        parts.emplace_back(text.substr(index * maxContentPartBytes, maxContentPartBytes));
    return parts;
}

std::string contentPartKey(std::string_view contentHash, std::size_t index)
{
    return fmt::format("{}{}/{}", configurationContentPrefix, contentHash, index);
}

}
