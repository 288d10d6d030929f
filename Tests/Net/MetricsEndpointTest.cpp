#include "Net/MetricsEndpoint.h"

#include "Net/AsioEndpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <prometheus/counter.h>

#include <string>

namespace wisteriadock {
namespace {

    constexpr Endpoint loopback { 0x7F000001, 0 };

    std::string scrape(const Endpoint& server)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(toTcp(server));
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /metrics HTTP/1.0\r\n\r\n")));
        std::string response;
        boost::system::error_code end;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), end);
        return response;
    }

    TEST(MetricsEndpointTest, ServesRegistry)
    {
        const auto registry = std::make_shared<prometheus::Registry>();
        prometheus::BuildCounter().Name("wisteriadock_requests").Register(*registry).Add({}).Increment(3);
        const auto endpoint = MetricsEndpoint::serve(loopback, registry);
        ASSERT_TRUE(endpoint);
        EXPECT_NE(scrape(endpoint.value()->address()).find("wisteriadock_requests 3"), std::string::npos);
    }

    // Guards against an error without the address that can't be bound.
    TEST(MetricsEndpointTest, ReportsAddressInUse)
    {
        const auto first = MetricsEndpoint::serve(loopback, std::make_shared<prometheus::Registry>());
        ASSERT_TRUE(first);
        const Endpoint taken = first.value()->address();
        const auto second = MetricsEndpoint::serve(taken, std::make_shared<prometheus::Registry>());
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error().code, ErrorCode::Unavailable);
        EXPECT_NE(second.error().detail.find(taken.toString()), std::string::npos);
    }

}
}
