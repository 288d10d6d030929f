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

// The maximum nesting depth of arrays in a message between balancers.
inline constexpr std::size_t maxPeerMessageDepth = 6;

// Encodes a struct that has MSGPACK_DEFINE_ARRAY.
template <typename Message> std::vector<std::uint8_t> encodeMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.data() + buffer.size() };
}

// Decodes the output of encodeMessage. Fails with InvalidArgument for input that is truncated, longer than maxBytes,
// malformed or of other types. Missing fields at the end keep their defaults and unknown fields after the last known
// one are skipped, so that balancers of two versions work together during an upgrade.
template <typename Message>
Result<Message> decodeMessage(std::span<const std::uint8_t> bytes, std::size_t maxBytes = maxPeerDatagramBytes)
{
    if (bytes.empty() || bytes.size() > maxBytes)
        return Error { ErrorCode::InvalidArgument, "message of " + std::to_string(bytes.size()) + " bytes" };
    // Without limits, a few bytes that declare a huge array would make the decoder reserve gigabytes.
    const msgpack::unpack_limit limit(maxBytes, maxBytes, maxBytes, maxBytes, maxBytes, maxPeerMessageDepth);
    // The library reports errors by exceptions.
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
