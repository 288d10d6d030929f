#include "News/PackedValue.h"

#include "Wire/PackedBytes.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

void packValue(StoreUpdate& item)
{
    if (item.isPacked || item.value.size() < packedFrom)
        return;
    std::string packed = packBytes(item.value);
    if (packed.empty() || packed.size() >= item.value.size())
        return;
    item.value = std::move(packed);
    item.isPacked = true;
}

Result<std::string> valueOf(const StoreUpdate& item)
{
    if (!item.isPacked)
        return item.value;
    Result<std::string> value = unpackBytes(item.value, maxDeltaBytes);
    if (value)
        return value;
    return Error { ErrorCode::InvalidArgument,
        fmt::format("value of key '{}', packed into {} bytes: {}", item.key, item.value.size(), value.error().detail) };
}

}
