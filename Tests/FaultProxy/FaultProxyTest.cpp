#include "FaultProxy/FaultProxy.h"

#include "Net/AsioEndpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace wisteriadock {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using asio::ip::udp;
    using namespace std::chrono_literals;

    // A sender, the proxy and a receiver with real loopback sockets on one io_context.
    class FaultProxyTest : public testing::Test {
    protected:
        void waitFor(const std::function<bool()>& condition)
        {
            const TimePoint deadline = Clock::now() + 10s;
            while (!condition()) {
                ASSERT_LT(Clock::now(), deadline) << "timeout waiting for the condition";
                context_.run_for(1ms);
                context_.restart();
            }
        }

        Endpoint open(LinkProtocol protocol, Endpoint target)
        {
            return proxy_.putLink({ "link", protocol, Endpoint { loopback, 0 }, target }).value();
        }

        void setFaults(const FaultSettings& settings)
        {
            proxy_.setFaults({ "link", "*" }, Direction::ToTarget, settings);
        }

        static constexpr std::uint32_t loopback = 0x7f000001;
        asio::io_context context_;
        FaultProxy proxy_ { context_, 1 };
    };

    class UdpLinkTest : public FaultProxyTest {
    protected:
        void SetUp() override
        {
            for (udp::socket* socket : { &sender_, &receiver_ })
                socket->non_blocking(true);
            linkAddress_ = open(LinkProtocol::Udp, fromAsio(receiver_.local_endpoint()));
        }

        void send(const std::string& text) { sender_.send_to(asio::buffer(text), toUdp(linkAddress_)); }

        std::string receiveAt(udp::socket& socket)
        {
            std::string text(100, '\0');
            boost::system::error_code error;
            const std::size_t size = socket.receive_from(asio::buffer(text), lastSender_, 0, error);
            text.resize(error ? 0 : size);
            return text;
        }

        std::string waitForDatagram(udp::socket& socket)
        {
            std::string text;
            waitFor([&] { return !(text = receiveAt(socket)).empty(); });
            return text;
        }

        udp::socket sender_ { context_, udp::endpoint(asio::ip::address_v4(loopback), 0) };
        udp::socket receiver_ { context_, udp::endpoint(asio::ip::address_v4(loopback), 0) };
        udp::endpoint lastSender_;
        Endpoint linkAddress_;
    };

    TEST_F(UdpLinkTest, DatagramsAndRepliesAreForwarded)
    {
        send("question");
        EXPECT_EQ(waitForDatagram(receiver_), "question");
        receiver_.send_to(asio::buffer("answer", 6), lastSender_);
        EXPECT_EQ(waitForDatagram(sender_), "answer");
        EXPECT_EQ(fromAsio(lastSender_), linkAddress_);
    }

    TEST_F(UdpLinkTest, FreezeHoldsAndCutDropsDatagrams)
    {
        const FaultCounters& counters = proxy_.links().at("link")->counters(Direction::ToTarget);

        SCOPED_TRACE("a datagram during a cut is dropped");
        send("before");
        EXPECT_EQ(waitForDatagram(receiver_), "before");
        setFaults({ .cut = true });
        send("lost");
        waitFor([&] { return counters.cut == 1; });

        SCOPED_TRACE("a datagram during a freeze is delivered after it");
        setFaults({ .freeze = true });
        send("held");
        waitFor([&] { return counters.frozen == 1; });
        EXPECT_EQ(receiveAt(receiver_), "");
        setFaults({});
        EXPECT_EQ(waitForDatagram(receiver_), "held");
    }

    TEST_F(UdpLinkTest, DatagramsAreDuplicatedAndDelayed)
    {
        setFaults({ .delay = 20ms, .duplicate = 1 });
        const TimePoint sent = Clock::now();
        send("twice");
        EXPECT_EQ(waitForDatagram(receiver_), "twice");
        EXPECT_EQ(waitForDatagram(receiver_), "twice");
        EXPECT_GE(Clock::now() - sent, 20ms);
    }

    class TcpLinkTest : public FaultProxyTest {
    protected:
        void connect()
        {
            const Endpoint address = open(LinkProtocol::Tcp, fromAsio(acceptor_.local_endpoint()));
            acceptor_.async_accept(target_, [this](const boost::system::error_code& error) { accepted_ = !error; });
            source_.connect(toTcp(address));
        }

        // Starts reading until the other side closes or resets the connection.
        void readAll()
        {
            asio::async_read(target_, asio::dynamic_buffer(received_),
                [this](const boost::system::error_code& error, std::size_t) { end_ = error; });
        }

        tcp::acceptor acceptor_ { context_, tcp::endpoint(asio::ip::address_v4(loopback), 0) };
        tcp::socket source_ { context_ };
        tcp::socket target_ { context_ };
        std::string received_;
        boost::system::error_code end_;
        bool accepted_ = false;
    };

    TEST_F(TcpLinkTest, AStreamIsForwardedToItsEnd)
    {
        connect();
        waitFor([&] { return accepted_; });
        readAll();
        const std::string text(1'000'000, 'x');
        asio::async_write(source_, asio::buffer(text),
            [&](const boost::system::error_code&, std::size_t) { source_.shutdown(asio::socket_base::shutdown_send); });
        waitFor([&] { return bool(end_); });
        EXPECT_EQ(end_, asio::error::eof);
        EXPECT_EQ(received_, text);
    }

    TEST_F(TcpLinkTest, BytesWaitDuringACutAndArriveAfterIt)
    {
        setFaults({ .cut = true });
        connect();
        asio::write(source_, asio::buffer("held", 4));
        context_.run_for(10ms);
        context_.restart();
        EXPECT_FALSE(accepted_);

        setFaults({});
        waitFor([&] { return accepted_; });
        readAll();
        source_.shutdown(asio::socket_base::shutdown_send);
        waitFor([&] { return bool(end_); });
        EXPECT_EQ(received_, "held");
    }

    TEST_F(TcpLinkTest, ACutWithResetResetsConnections)
    {
        connect();
        waitFor([&] { return accepted_; });
        readAll();
        setFaults({ .cut = true, .reset = true });
        waitFor([&] { return bool(end_); });
        EXPECT_EQ(end_, asio::error::connection_reset);
    }

}
}
