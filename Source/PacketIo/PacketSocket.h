#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <chrono>

namespace wisteriadock {

// A blocking UDP socket for the packet path, closed with the object. Several of them share one port as a group; the
// kernel picks the member for each datagram (steerByClient).
class PacketSocket {
public:
    // Binds the first socket of a group. A port of 0 takes an ephemeral one. Fails with Unavailable when any other
    // socket has the address, also one that would share it: two balancers on one address would take each other's
    // packets.
    static Result<PacketSocket> open(Endpoint);
    // Binds a further socket to the address of the first.
    static Result<PacketSocket> join(const PacketSocket& first);

    PacketSocket(PacketSocket&&) noexcept;
    PacketSocket& operator=(PacketSocket&&) noexcept;
    PacketSocket(const PacketSocket&) = delete;
    PacketSocket& operator=(const PacketSocket&) = delete;
    ~PacketSocket();

    // Makes the kernel choose among the members of the group by the client address in the PROXY header, so that one
    // flow stays on one thread although all its packets come from the few addresses of the fabric. Call it on any
    // member once all have joined.
    Result<void> steerByClient(unsigned members);
    // Makes a blocking receive return after this time when nothing came.
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
