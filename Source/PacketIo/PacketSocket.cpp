#include "PacketIo/PacketSocket.h"

#include "PacketIo/SocketAddress.h"

#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <linux/filter.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace wisteriadock {

namespace {

    // Holds bursts of packets while the thread is not scheduled. The kernel may grant less.
    constexpr int bufferBytes = 4 * 1024 * 1024;

    // Offsets of the client's address and port in the PROXY v2 header.
    constexpr std::uint32_t clientAddressOffset = 16;
    constexpr std::uint32_t clientPortOffset = 24;
    // Multiplicative hash by Knuth, which spreads adjacent addresses over the group.
    constexpr std::uint32_t hashMultiplier = 2654435761U;

    Error systemError(const char* what, Endpoint endpoint)
    {
        return { ErrorCode::Unavailable, fmt::format("{} {}: {}", what, endpoint.toString(), std::strerror(errno)) };
    }

    Result<int> createSocket()
    {
        const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return systemError("can't create a socket", {});
        return descriptor;
    }

}

PacketSocket::PacketSocket(PacketSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , address_(other.address_)
{
}

PacketSocket& PacketSocket::operator=(PacketSocket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(address_, other.address_);
    return *this;
}

PacketSocket::~PacketSocket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Result<PacketSocket> PacketSocket::open(Endpoint endpoint)
{
    BOOST_OUTCOME_TRY(descriptor, createSocket());
    PacketSocket socket(descriptor);
    // SO_REUSEPORT is set only after binding, so that binding fails while any other socket has the address.
    BOOST_OUTCOME_TRY(socket.bindTo(endpoint));
    const int enabled = 1;
    BOOST_OUTCOME_TRY(socket.setOption(SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled), "SO_REUSEPORT"));
    return socket;
}

Result<PacketSocket> PacketSocket::join(const PacketSocket& first)
{
    BOOST_OUTCOME_TRY(descriptor, createSocket());
    PacketSocket socket(descriptor);
    const int enabled = 1;
    BOOST_OUTCOME_TRY(socket.setOption(SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled), "SO_REUSEPORT"));
    BOOST_OUTCOME_TRY(socket.bindTo(first.address()));
    return socket;
}

Result<void> PacketSocket::steerByClient(unsigned members)
{
    std::array<sock_filter, 8> program { {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, clientAddressOffset),
        BPF_STMT(BPF_MISC | BPF_TAX, 0),
        BPF_STMT(BPF_LD | BPF_H | BPF_ABS, clientPortOffset),
        BPF_STMT(BPF_ALU | BPF_XOR | BPF_X, 0),
        BPF_STMT(BPF_ALU | BPF_MUL | BPF_K, hashMultiplier),
        BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, 16),
        BPF_STMT(BPF_ALU | BPF_MOD | BPF_K, members),
        BPF_STMT(BPF_RET | BPF_A, 0),
    } };
    const sock_fprog filter { .len = static_cast<unsigned short>(program.size()), .filter = program.data() };
    return setOption(SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &filter, sizeof(filter), "SO_ATTACH_REUSEPORT_CBPF");
}

Result<void> PacketSocket::setReceiveTimeout(std::chrono::milliseconds timeout)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const std::chrono::microseconds rest = timeout - seconds;
    const timeval value { .tv_sec = seconds.count(), .tv_usec = rest.count() };
    return setOption(SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value), "SO_RCVTIMEO");
}

Result<void> PacketSocket::setOption(int level, int option, const void* value, unsigned size, const char* name)
{
    if (::setsockopt(descriptor_, level, option, value, size) != 0)
        return systemError(name, address_);
    return boost::outcome_v2::success();
}

Result<void> PacketSocket::bindTo(Endpoint endpoint)
{
    const sockaddr_in wanted = toSocketAddress(endpoint);
    if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) != 0)
        return systemError("can't bind", endpoint);

    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size) != 0)
        return systemError("can't read the address of", endpoint);
    address_ = toEndpoint(bound);
    enlargeBuffers();
    return boost::outcome_v2::success();
}

// Errors are ignored: with smaller buffers only more packets of a burst are dropped.
void PacketSocket::enlargeBuffers()
{
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof(bufferBytes));
}

}
