#pragma once

#include "Core/Endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace wisteriadock {

// Conversions between Endpoint (host byte order) and sockaddr_in (network byte order).
inline sockaddr_in toSocketAddress(Endpoint endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

inline Endpoint toEndpoint(const sockaddr_in& address)
{
    return { .address = ntohl(address.sin_addr.s_addr), .port = ntohs(address.sin_port) };
}

}
