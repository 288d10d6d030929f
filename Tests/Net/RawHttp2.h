#pragma once

#include "Core/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// Encodes HTTP/2 frames byte by byte, for peers that violate the protocol or stop in the middle of a message.
namespace raw {

    enum FrameType : std::uint8_t {
        Data = 0,
        Headers = 1,
        Reset = 3,
        Settings = 4,
        Ping = 6,
        GoAway = 7,
        Continuation = 9,
    };

    inline constexpr std::uint8_t endStream = 1;
    inline constexpr std::uint8_t endHeaders = 4;
    inline constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

    std::string encodeUint32(std::uint32_t);
    std::string frame(FrameType, std::uint8_t flags, std::uint32_t stream, std::string_view payload);
    // A literal HPACK field without indexing; name and value must be shorter than 127 bytes.
    std::string field(std::string_view name, std::string_view value);
    // The pseudo-headers of a "POST /" request to the authority "tryon", and of a 200 response.
    std::string requestFields();
    std::string responseFields();

}

// A TCP peer that writes the bytes given by a test and records the bytes it reads.
class RawPeer {
public:
    explicit RawPeer(boost::asio::io_context&);

    // Listens on an ephemeral port, returns its address and accepts one connection.
    Endpoint listen();
    enum class Reading {
        Always,
        Never,
    };
    void connect(const Endpoint&, Reading = Reading::Always);

    // Returns false if the connection is closed.
    bool write(std::string_view bytes);
    void close();

    // Counts the frames of this type that have been received completely.
    std::size_t countFrames(raw::FrameType) const;
    bool hasFrame(raw::FrameType type) const { return countFrames(type) > 0; }
    bool isEnded() const { return ended_; }

private:
    void read();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 4096> buffer_ {};
    std::string received_;
    bool ended_ = false;
};

}
