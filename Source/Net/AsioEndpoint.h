#pragma once

#include "Core/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace wisteriadock {

// Our endpoints as Boost.Asio's and back. The sockets of this project are IPv4; an IPv6 endpoint turns into an unset
// one.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint&);
boost::asio::ip::udp::endpoint toUdp(const Endpoint&);
Endpoint fromAsio(const boost::asio::ip::tcp::endpoint&);
Endpoint fromAsio(const boost::asio::ip::udp::endpoint&);

}
