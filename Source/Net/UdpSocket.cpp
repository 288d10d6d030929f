#include "Net/UdpSocket.h"

#include "Net/AsioEndpoint.h"

#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>

#include <utility>
#include <vector>

namespace wisteriadock {

class UdpSocket::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(boost::asio::io_context& context, Handler handler, std::size_t maxDatagramBytes)
        : socket_(context)
        , handler_(std::move(handler))
        , maxDatagramBytes_(maxDatagramBytes)
        // One byte above the limit, so that an oversized datagram is detected instead of truncated.
        , buffer_(maxDatagramBytes + 1)
    {
    }

    Result<void> open(const Endpoint&);
    void receive();
    void send(const Endpoint& receiver, std::span<const std::uint8_t> bytes);
    void close();

    Endpoint address;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagramsDropped = 0;

private:
    void onReceived(const boost::system::error_code&, std::size_t size);

    boost::asio::ip::udp::socket socket_;
    Handler handler_;
    std::size_t maxDatagramBytes_;
    std::vector<std::uint8_t> buffer_;
    boost::asio::ip::udp::endpoint sender_;
};

Result<void> UdpSocket::Implementation::open(const Endpoint& endpoint)
{
    const auto localAddress = toUdp(endpoint);
    boost::system::error_code error;
    socket_.open(localAddress.protocol(), error);
    if (!error)
        socket_.bind(localAddress, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (!error)
        address = fromAsio(socket_.local_endpoint(error));
    if (error)
        return Error { ErrorCode::Unavailable,
            fmt::format("can't bind UDP {}: {}", endpoint.toString(), error.message()) };
    return boost::outcome_v2::success();
}

void UdpSocket::Implementation::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
        [self = shared_from_this()](
            const boost::system::error_code& error, std::size_t size) { self->onReceived(error, size); });
}

void UdpSocket::Implementation::onReceived(const boost::system::error_code& error, std::size_t size)
{
    if (!socket_.is_open())
        return;
    if (!error)
        bytesReceived += size;
    if (size > maxDatagramBytes_)
        ++datagramsDropped;
    else if (!error)
        handler_(fromAsio(sender_), { buffer_.data(), size });
    if (socket_.is_open())
        receive();
}

void UdpSocket::Implementation::send(const Endpoint& receiver, std::span<const std::uint8_t> bytes)
{
    boost::system::error_code error;
    if (bytes.size() <= maxDatagramBytes_)
        socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdp(receiver), 0, error);
    if (bytes.size() > maxDatagramBytes_ || error)
        ++datagramsDropped;
    else
        bytesSent += bytes.size();
}

void UdpSocket::Implementation::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

Result<std::unique_ptr<UdpSocket>> UdpSocket::bind(
    boost::asio::io_context& context, Endpoint endpoint, Handler handler, std::size_t maxDatagramBytes)
{
    auto implementation = std::make_shared<Implementation>(context, std::move(handler), maxDatagramBytes);
    if (auto opened = implementation->open(endpoint); !opened)
        return opened.error();
    implementation->receive();
    return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(implementation)));
}

UdpSocket::UdpSocket(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

UdpSocket::~UdpSocket() { implementation_->close(); }

void UdpSocket::send(const Endpoint& receiver, std::span<const std::uint8_t> bytes)
{
    implementation_->send(receiver, bytes);
}

Endpoint UdpSocket::address() const { return implementation_->address; }

std::uint64_t UdpSocket::bytesSent() const { return implementation_->bytesSent; }

std::uint64_t UdpSocket::bytesReceived() const { return implementation_->bytesReceived; }

std::uint64_t UdpSocket::datagramsDropped() const { return implementation_->datagramsDropped; }

}
