#include "StandIns/DatagramSocket.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

namespace wisteriadock {

namespace {

    using boost::asio::ip::udp;

    constexpr int kernelBufferBytes = 4 * 1024 * 1024;
    // After this number of consecutive batches, other handlers of the io_context run first.
    constexpr int batchesPerTurn = 4;

    sockaddr_in socketAddressOf(const Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(endpoint.address);
        return address;
    }

}

DatagramSocket::DatagramSocket(udp::socket socket, Endpoint address)
    : socket_(std::move(socket))
    , address_(address)
    , incoming_(batchSize)
    , outgoing_(batchSize)
{
}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::bind(boost::asio::io_context& context, Endpoint wanted)
{
    boost::system::error_code error;
    udp::socket socket(context);
    socket.open(udp::v4(), error);
    if (!error)
        socket.bind(udp::endpoint(boost::asio::ip::address_v4(wanted.address), wanted.port), error);
    if (!error)
        socket.non_blocking(true, error);
    if (error)
        return Error { ErrorCode::Unavailable, fmt::format("UDP {}: {}", wanted.toString(), error.message()) };

    // Larger kernel buffers absorb bursts; smaller ones are acceptable, so errors are ignored.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(kernelBufferBytes), ignored);
    socket.set_option(boost::asio::socket_base::send_buffer_size(kernelBufferBytes), ignored);

    const udp::endpoint bound = socket.local_endpoint(error);
    if (error)
        return Error { ErrorCode::Unavailable, fmt::format("UDP {}: {}", wanted.toString(), error.message()) };
    const Endpoint address { bound.address().to_v4().to_uint(), bound.port() };
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(socket), address));
}

void DatagramSocket::receive(Handler handler, BatchEndHandler batchEnd)
{
    handler_ = std::move(handler);
    batchEnd_ = std::move(batchEnd);
    waitForDatagrams();
}

void DatagramSocket::waitForDatagrams()
{
    socket_.async_wait(udp::socket::wait_read, [this](const boost::system::error_code& error) {
        if (error)
            return;
        for (int batch = 0; batch < batchesPerTurn && receiveBatch(); ++batch) { }
        waitForDatagrams();
    });
}

// Returns whether more datagrams probably wait.
bool DatagramSocket::receiveBatch()
{
    std::array<iovec, batchSize> vectors;
    std::array<mmsghdr, batchSize> messages {};
    for (std::size_t i = 0; i < batchSize; ++i) {
        vectors[i] = { incoming_[i].data(), maxDatagramBytes };
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    const int received = recvmmsg(socket_.native_handle(), messages.data(), batchSize, MSG_DONTWAIT, nullptr);
    if (received <= 0)
        return false;
    for (std::size_t i = 0; i < static_cast<std::size_t>(received); ++i)
        handler_(std::span(incoming_[i]).first(messages[i].msg_len));
    batchEnd_();
    flush();
    return received == batchSize;
}

void DatagramSocket::send(
    Endpoint destination, std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload)
{
    if (header.size() + payload.size() > maxDatagramBytes) {
        ++sendDrops_;
        return;
    }
    Outgoing& slot = outgoing_[outgoingCount_];
    slot.destination = destination;
    slot.size = header.size() + payload.size();
    const auto rest = std::copy(header.begin(), header.end(), slot.bytes.begin());
    std::copy(payload.begin(), payload.end(), rest);
    if (++outgoingCount_ == batchSize)
        flush();
}

void DatagramSocket::flush()
{
    std::array<iovec, batchSize> vectors;
    std::array<sockaddr_in, batchSize> addresses;
    std::array<mmsghdr, batchSize> messages {};
    for (std::size_t i = 0; i < outgoingCount_; ++i) {
        vectors[i] = { outgoing_[i].bytes.data(), outgoing_[i].size };
        addresses[i] = socketAddressOf(outgoing_[i].destination);
        messages[i].msg_hdr.msg_name = &addresses[i];
        messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    std::size_t done = 0;
    while (done < outgoingCount_) {
        const int sent = sendmmsg(socket_.native_handle(), messages.data() + done,
            static_cast<unsigned>(outgoingCount_ - done), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) {
            done += static_cast<std::size_t>(sent);
            continue;
        }
        // The error concerns the first unsent datagram: the buffer is full or the destination refuses it. Drop it and
        // send the rest.
        if (errno != EINTR) {
            ++sendDrops_;
            ++done;
        }
    }
    outgoingCount_ = 0;
}

}
