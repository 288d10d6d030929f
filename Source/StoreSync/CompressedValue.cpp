#include "StoreSync/CompressedValue.h"

#include "Wire/Compression.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

void compressValue(StoreUpdate& item)
{
    if (item.isCompressed || item.value.size() < compressionThreshold)
        return;
    std::string compressed = compressBytes(item.value);
    if (compressed.empty() || compressed.size() >= item.value.size())
        return;
    item.value = std::move(compressed);
    item.isCompressed = true;
}

Result<std::string> plainValue(const StoreUpdate& item)
{
    if (!item.isCompressed)
        return item.value;
    Result<std::string> value = decompressBytes(item.value, maxDeltaBytes);
    if (value)
        return value;
    return Error { ErrorCode::InvalidArgument,
        fmt::format(
            "value of key '{}', compressed to {} bytes: {}", item.key, item.value.size(), value.error().detail) };
}

}
