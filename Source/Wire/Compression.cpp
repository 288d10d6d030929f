#include "Wire/Compression.h"

#include <zstd.h>

namespace wisteriadock {

namespace {

    constexpr int compressionLevel = 1;

    Error decompressionError(const char* cause) { return { ErrorCode::InvalidArgument, cause }; }

}

std::string compressBytes(std::string_view bytes)
{
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size
        = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), compressionLevel);
    if (ZSTD_isError(size))
        return {};
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

Result<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    // The library's values for an unknown size and an error are larger than any allowed size.
    if (size > maxBytes)
        return decompressionError("unknown size, or too large");
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t written = ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written))
        return decompressionError(ZSTD_getErrorName(written));
    if (written != bytes.size())
        return decompressionError("shorter than its declared size");
    return bytes;
}

}
