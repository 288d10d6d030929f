#include "Net/AsioEndpoint.h"

namespace wisteriadock {

namespace {

    template <typename AsioEndpoint> AsioEndpoint toAsio(const Endpoint& endpoint)
    {
        return AsioEndpoint(boost::asio::ip::address_v4(endpoint.address), endpoint.port);
    }

    template <typename AsioEndpoint> Endpoint fromAnyAsio(const AsioEndpoint& endpoint)
    {
        if (!endpoint.address().is_v4())
            return {};
        return Endpoint { endpoint.address().to_v4().to_uint(), endpoint.port() };
    }

}

boost::asio::ip::tcp::endpoint toTcp(const Endpoint& endpoint)
{
    return toAsio<boost::asio::ip::tcp::endpoint>(endpoint);
}

boost::asio::ip::udp::endpoint toUdp(const Endpoint& endpoint)
{
    return toAsio<boost::asio::ip::udp::endpoint>(endpoint);
}

Endpoint fromAsio(const boost::asio::ip::tcp::endpoint& endpoint) { return fromAnyAsio(endpoint); }

Endpoint fromAsio(const boost::asio::ip::udp::endpoint& endpoint) { return fromAnyAsio(endpoint); }

}
