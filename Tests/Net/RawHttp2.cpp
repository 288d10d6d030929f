#include "Net/RawHttp2.h"

#include "Net/AsioEndpoint.h"

#include <boost/asio/write.hpp>

namespace wisteriadock {

namespace raw {

    std::string encodeUint32(std::uint32_t value)
    {
        return { static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
            static_cast<char>(value) };
    }

    std::string frame(FrameType type, std::uint8_t flags, std::uint32_t stream, std::string_view payload)
    {
        std::string bytes = encodeUint32(static_cast<std::uint32_t>(payload.size())).substr(1);
        bytes += static_cast<char>(type);
        bytes += static_cast<char>(flags);
        return bytes + encodeUint32(stream) + std::string(payload);
    }

    std::string field(std::string_view name, std::string_view value)
    {
        std::string bytes(1, '\0');
        bytes += static_cast<char>(name.size());
        bytes += name;
        bytes += static_cast<char>(value.size());
        return bytes.append(value);
    }

    std::string requestFields()
    {
        return "\x83\x86\x84\x01\x05"
               "tryon";
    }

    std::string responseFields() { return "\x88"; }

}

RawPeer::RawPeer(boost::asio::io_context& context)
    : acceptor_(context)
    , socket_(context)
{
}

Endpoint RawPeer::listen()
{
    const auto address = toTcp({ 0x7F000001, 0 });
    acceptor_.open(address.protocol());
    acceptor_.bind(address);
    acceptor_.listen();
    acceptor_.async_accept(socket_, [this](const boost::system::error_code& error) {
        if (!error)
            read();
    });
    return fromAsio(acceptor_.local_endpoint());
}

void RawPeer::connect(const Endpoint& server, Reading reading)
{
    socket_.open(boost::asio::ip::tcp::v4());
    if (reading == Reading::Never)
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket_.connect(toTcp(server));
    if (reading == Reading::Always)
        read();
}

bool RawPeer::write(std::string_view bytes)
{
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
}

void RawPeer::close() { socket_.close(); }

void RawPeer::read()
{
    socket_.async_read_some(
        boost::asio::buffer(buffer_), [this](const boost::system::error_code& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            received_.append(buffer_.data(), size);
            if (error)
                ended_ = true;
            else
                read();
        });
}

std::size_t RawPeer::countFrames(raw::FrameType type) const
{
    constexpr std::size_t frameHeaderBytes = 9;
    std::size_t count = 0;
    std::size_t position = received_.starts_with(raw::preface) ? raw::preface.size() : 0;
    while (position + frameHeaderBytes <= received_.size()) {
        const auto byte = [&](std::size_t offset) { return static_cast<std::uint8_t>(received_[position + offset]); };
        const std::size_t size = (std::size_t(byte(0)) << 16) | (std::size_t(byte(1)) << 8) | byte(2);
        const bool isWhole = position + frameHeaderBytes + size <= received_.size();
        if (isWhole && byte(3) == type)
            ++count;
        position += frameHeaderBytes + size;
    }
    return count;
}

}
