#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <chrono>

namespace wisteriadock {

// A blocking UDP socket for the packet path, closed by the destructor. Several sockets may share one port as a
// SO_REUSEPORT group; the kernel picks one of them for each datagram (see steerByClient()).
class PacketSocket {
public:
    // Binds the first socket of a group; port 0 selects an ephemeral port. Fails with Unavailable when any other socket
    // has the address, even one with SO_REUSEPORT: two balancers on one address would receive each other's packets.
    static Result<PacketSocket> open(Endpoint);
    // Binds another socket of the group to the address of the first.
    static Result<PacketSocket> join(const PacketSocket& first);

    PacketSocket(PacketSocket&&) noexcept;
    PacketSocket& operator=(PacketSocket&&) noexcept;
    PacketSocket(const PacketSocket&) = delete;
    PacketSocket& operator=(const PacketSocket&) = delete;
    ~PacketSocket();

    // Makes the kernel choose the socket by the client address and port in the PROXY header, so that each flow stays on
    // one thread. The sender addresses can't serve for that: they are the few addresses of the fabric. Call it on any
    // socket of the group once all have joined. members: number of sockets in the group.
    Result<void> steerByClient(unsigned members);
    // A blocking receive returns after this time when no datagram arrives.
    Result<void> setReceiveTimeout(std::chrono::milliseconds);

    Endpoint address() const { return address_; }
    int descriptor() const { return descriptor_; }

private:
    explicit PacketSocket(int descriptor)
        : descriptor_(descriptor)
    {
    }

    Result<void> setOption(int level, int option, const void* value, unsigned size, const char* name);
    Result<void> bindTo(Endpoint);
    void enlargeBuffers();

    int descriptor_ = -1;
    Endpoint address_;
};

}
