#include "StoreSync/ValuePatch.h"

#include "StoreSync/StoreDelta.h"

#include <fmt/format.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace wisteriadock {

namespace {

    // The fastest level suffices: nearly all of a value is found in the former one.
    constexpr int compressionLevel = 1;
    // Binary logarithms of the window's bytes. By default the decoder refuses larger windows.
    constexpr int minWindowLog = 10;
    constexpr int maxWindowLog = 27;

    struct FreeCompressor {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    };
    struct FreeDecompressor {
        void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
    };

    Error patchError(const ValuePatch& patch, const char* cause)
    {
        return { ErrorCode::InvalidArgument,
            fmt::format("patch of key '{}' from revision {} to {}, {} bytes: {}", patch.key, patch.base, patch.revision,
                patch.bytes.size(), cause) };
    }

    // The window has to cover both values, or matches at the start of the former one are not found.
    int windowLogFor(std::size_t bytes)
    {
        return std::clamp(static_cast<int>(std::bit_width(bytes)), minWindowLog, maxWindowLog);
    }

}

std::optional<std::string> patchBytes(const std::string& former, const std::string& value)
{
    const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
    if (!context)
        return std::nullopt;
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(former.size() + value.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), former.data(), former.size());
    std::string bytes(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), value.data(), value.size());
    if (ZSTD_isError(size) || size > value.size() / 2)
        return std::nullopt;
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

Result<std::string> applyPatch(const std::string& former, const ValuePatch& patch)
{
    const unsigned long long size = ZSTD_getFrameContentSize(patch.bytes.data(), patch.bytes.size());
    // The two values by which the library reports an unknown size exceed the limit as well.
    if (size > maxDeltaBytes)
        return patchError(patch, "size missing or too large");
    const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
    if (!context)
        return patchError(patch, "out of memory");
    ZSTD_DCtx_refPrefix(context.get(), former.data(), former.size());
    std::string value(static_cast<std::size_t>(size), '\0');
    const std::size_t written
        = ZSTD_decompressDCtx(context.get(), value.data(), value.size(), patch.bytes.data(), patch.bytes.size());
    if (ZSTD_isError(written))
        return patchError(patch, ZSTD_getErrorName(written));
    if (written != value.size())
        return patchError(patch, "shorter than its stated size");
    return value;
}

}
