#include "Net/UdpSocket.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace wisteriadock {
namespace {

    class UdpSocketTest : public testing::Test {
    protected:
        static constexpr Endpoint loopback { 0x7F000001, 0 };

        std::unique_ptr<UdpSocket> open()
        {
            const auto record = [this](const Endpoint& sender, std::span<const std::uint8_t> bytes) {
                senders_.push_back(sender);
                received_.emplace_back(bytes.begin(), bytes.end());
            };
            return UdpSocket::bind(context_, loopback, record, 8).value();
        }

        static void send(UdpSocket& from, const Endpoint& to, const std::string& text)
        {
            from.send(to, { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() });
        }

        template <typename Condition> void runUntil(Condition condition)
        {
            context_.restart();
            while (!condition())
                ASSERT_GT(context_.run_one(), 0U);
        }

        boost::asio::io_context context_;
        std::vector<Endpoint> senders_;
        std::vector<std::string> received_;
    };

    TEST_F(UdpSocketTest, CarriesAndCountsDatagrams)
    {
        const auto one = open();
        const auto two = open();
        send(*one, two->address(), "hello");
        send(*one, two->address(), "");
        runUntil([&] { return received_.size() == 2; });
        EXPECT_EQ(received_, (std::vector<std::string> { "hello", "" }));
        EXPECT_EQ(senders_, (std::vector<Endpoint> { one->address(), one->address() }));
        EXPECT_EQ(one->bytesSent(), 5U);
        EXPECT_EQ(two->bytesReceived(), 5U);
    }

    // Guards against passing on an oversized datagram that the kernel has truncated.
    TEST_F(UdpSocketTest, DropsAndCountsOversizedDatagrams)
    {
        const auto small = open();
        const auto large = UdpSocket::bind(context_, loopback, [](auto&&...) {}).value();
        send(*large, small->address(), "123456789");
        send(*large, small->address(), "12345678");
        runUntil([&] { return !received_.empty(); });
        EXPECT_EQ(received_, (std::vector<std::string> { "12345678" }));
        EXPECT_EQ(small->datagramsDropped(), 1U);
        send(*small, large->address(), "123456789");
        EXPECT_EQ(small->datagramsDropped(), 2U);
        EXPECT_EQ(small->bytesSent(), 0U);
    }

    // Guards against use of a socket after its handler has destroyed it.
    TEST_F(UdpSocketTest, HandlerMayDestroySocket)
    {
        std::unique_ptr<UdpSocket> selfDestroying;
        selfDestroying = UdpSocket::bind(context_, loopback, [&](auto&&...) { selfDestroying.reset(); }).value();
        const auto sender = open();
        send(*sender, selfDestroying->address(), "bye");
        runUntil([&] { return !selfDestroying; });
    }

    // Guards against an error without the address that can't be bound.
    TEST_F(UdpSocketTest, ReportsAddressInUse)
    {
        const auto first = open();
        const auto second = UdpSocket::bind(context_, first->address(), [](auto&&...) {});
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error().code, ErrorCode::Unavailable);
        EXPECT_NE(second.error().detail.find(first->address().toString()), std::string::npos);
    }

}
}
