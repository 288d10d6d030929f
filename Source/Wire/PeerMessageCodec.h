#pragma once

#include "Core/Error.h"
#include "Wire/PeerMessage.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <span>
#include <string>
#include <vector>

namespace wisteriadock {

// The deepest nesting of arrays in a message between balancers.
inline constexpr std::size_t maxPeerMessageDepth = 6;

// Writes a struct that has MSGPACK_DEFINE_ARRAY.
template <typename Message> std::vector<std::uint8_t> encodeMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.data() + buffer.size() };
}

// Reads what encodeMessage wrote. Input that is short, too long, garbage or of other types gives InvalidArgument.
// Fields that are missing at the end keep their defaults and unknown ones after the end are skipped, so that balancers
// of two versions understand each other while one replaces the other.
template <typename Message>
Result<Message> decodeMessage(std::span<const std::uint8_t> bytes, std::size_t largest = maxPeerDatagramBytes)
{
    if (bytes.empty() || bytes.size() > largest)
        return Error { ErrorCode::InvalidArgument, "message of " + std::to_string(bytes.size()) + " bytes" };
    // Without limits a few bytes that claim a huge array make the decoder reserve gigabytes.
    const msgpack::unpack_limit limit(largest, largest, largest, largest, largest, maxPeerMessageDepth);
    // The library reports by exceptions, which end here.
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(
            reinterpret_cast<const char*>(bytes.data()), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            return Error { ErrorCode::InvalidArgument, "bytes follow the message" };
        if (handle->type != msgpack::type::ARRAY)
            return Error { ErrorCode::InvalidArgument, "message is not an array" };
        Message message;
        handle->convert(message);
        return message;
    } catch (const std::exception& failure) {
        return Error { ErrorCode::InvalidArgument, std::string("message: ") + failure.what() };
    }
}

}
