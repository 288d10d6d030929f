#pragma once

#include "Core/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace wisteriadock {

// Convert between Endpoint and the endpoint types of Boost.Asio. Only IPv4 is supported: fromAsio() returns an unset
// Endpoint for an IPv6 address.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint&);
boost::asio::ip::udp::endpoint toUdp(const Endpoint&);
Endpoint fromAsio(const boost::asio::ip::tcp::endpoint&);
Endpoint fromAsio(const boost::asio::ip::udp::endpoint&);

}
