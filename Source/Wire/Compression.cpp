#include "Wire/Compression.h"

#include <zstd.h>

namespace wisteriadock {

namespace {

    constexpr int compressionLevel = 1;

    Error decompressionError(const char* cause) { return { ErrorCode::InvalidArgument, cause }; }

}

std::string compressBytes(std::string_view bytes)
{
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), compressionLevel);
    if (ZSTD_isError(size))
        return {};
    packed.resize(size);
    packed.shrink_to_fit();
    return packed;
}

Result<std::string> decompressBytes(std::string_view packed, std::size_t most)
{
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    // Both marks of the library for an unknown size are larger than any size that is allowed.
    if (size > most)
        return decompressionError("no size, or too large");
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t unpacked = ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(unpacked))
        return decompressionError(ZSTD_getErrorName(unpacked));
    if (unpacked != bytes.size())
        return decompressionError("shorter than it says");
    return bytes;
}

}
