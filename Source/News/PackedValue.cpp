#include "News/PackedValue.h"

#include <fmt/format.h>
#include <zstd.h>

#include <utility>

namespace wisteriadock {

namespace {

    // The fastest level that the library calls ordinary: a balancer has a few hundredths of a core.
    constexpr int packingLevel = 1;

    Error packingError(const NewsItem& item, const char* cause)
    {
        return { ErrorCode::InvalidArgument,
            fmt::format("value of key '{}', packed into {} bytes: {}", item.key, item.value.size(), cause) };
    }

}

void packValue(NewsItem& item)
{
    if (item.isPacked || item.value.size() < packedFrom)
        return;
    std::string packed(ZSTD_compressBound(item.value.size()), '\0');
    const std::size_t size
        = ZSTD_compress(packed.data(), packed.size(), item.value.data(), item.value.size(), packingLevel);
    if (ZSTD_isError(size) || size >= item.value.size())
        return;
    packed.resize(size);
    packed.shrink_to_fit();
    item.value = std::move(packed);
    item.isPacked = true;
}

Result<std::string> valueOf(const NewsItem& item)
{
    if (!item.isPacked)
        return item.value;
    const unsigned long long size = ZSTD_getFrameContentSize(item.value.data(), item.value.size());
    // Both marks of the library for an unknown size are larger than any size that is allowed.
    if (size > largestNews)
        return packingError(item, "no size, or too large");
    std::string value(static_cast<std::size_t>(size), '\0');
    const std::size_t unpacked = ZSTD_decompress(value.data(), value.size(), item.value.data(), item.value.size());
    if (ZSTD_isError(unpacked))
        return packingError(item, ZSTD_getErrorName(unpacked));
    if (unpacked != value.size())
        return packingError(item, "shorter than it says");
    return value;
}

}
