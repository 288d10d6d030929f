#include "Balancer/BalancerDaemon.h"

#include "Balancer/PlatformTest.h"
#include "Net/UdpSocket.h"
#include "Wire/ProxyHeader.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <optional>
#include <thread>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr Endpoint tryonAddress { 0xc0000201, 443 };

    // Runs a complete balancer on its own thread, with a platform and one backend server.
    class BalancerDaemonTest : public PlatformTest {
    protected:
        void SetUp() override
        {
            PlatformTest::SetUp();
            const auto takePacket = [this](const Endpoint&, std::span<const std::uint8_t> bytes) {
                if (const auto packet = decodeProxiedPacket(bytes))
                    packets_.push_back(packet.value().header);
            };
            flowServer_ = std::move(UdpSocket::bind(context_, anyLoopbackPort, takePacket).value());
            const auto takeRequest = [this](const std::shared_ptr<Http2Exchange>& exchange) { exchange_ = exchange; };
            requestServer_ = std::move(Http2Server::listen(context_, anyLoopbackPort, takeRequest).value());
            apply(versionOf(1, configuration()));

            auto daemon = BalancerDaemon::start(settings(), "");
            ASSERT_TRUE(daemon) << daemon.error().detail;
            daemon_ = std::move(daemon.value());
            addresses_ = daemon_->addresses();
            client_ = std::make_unique<Http2Client>(context_, addresses_.request);
            thread_ = std::thread([this] {
                daemon_->run();
                isStopped_ = true;
            });
        }

        void TearDown() override
        {
            if (!isStopped_) {
                std::raise(SIGTERM);
                std::raise(SIGTERM);
            }
            if (thread_.joinable())
                thread_.join();
        }

        Configuration configuration() const
        {
            Service service;
            service.name = "tryon";
            service.id = serviceIdOf("tryon");
            service.address = tryonAddress;
            BackendServer server;
            server.name = "try1";
            server.id = backendServerIdOf("try1");
            server.service = service.id;
            server.availabilityZone = "walu";
            server.flowAddress = flowServer_->address();
            server.requestAddress = requestServer_->address();
            return { { service }, { server } };
        }

        BalancerSettings settings() const
        {
            BalancerSettings settings;
            settings.name = "b1";
            settings.availabilityZone = "walu";
            settings.listen = { anyLoopbackPort, anyLoopbackPort, anyLoopbackPort, anyLoopbackPort };
            settings.platform = standIn_->address();
            settings.drain = 0s;
            return settings;
        }

        void call(const std::string& path, const std::string& authority)
        {
            answer_.reset();
            HttpRequest request;
            request.path = path;
            request.authority = authority;
            client_->send(
                request, Clock::now() + 20s, [this](HttpOutcome outcome) { answer_.emplace(std::move(outcome)); });
        }

        nlohmann::json readStatus()
        {
            call("/wisteriadock/status", "b1");
            runUntil([this] { return answer_.has_value(); });
            return nlohmann::json::parse(answer_->value().body);
        }

        void awaitServing()
        {
            runUntil([this] { return readStatus().at("state") == "serving"; });
        }

        std::vector<ProxyHeader> packets_;
        std::shared_ptr<Http2Exchange> exchange_;
        std::unique_ptr<UdpSocket> flowServer_;
        std::unique_ptr<Http2Server> requestServer_;
        std::unique_ptr<BalancerDaemon> daemon_;
        BalancerAddresses addresses_;
        std::unique_ptr<Http2Client> client_;
        std::optional<HttpOutcome> answer_;
        std::atomic<bool> isStopped_ = false;
        std::thread thread_;
    };

    TEST_F(BalancerDaemonTest, ServesPacketsAndRequestsUntilStopped)
    {
        awaitServing();
        EXPECT_EQ(readStatus().at("configuration_version"), 1);
        {
            SCOPED_TRACE("forward a packet of a flow");
            const ProxyHeader header { { 0xcb007101, 50000 }, tryonAddress, {} };
            std::vector<std::uint8_t> datagram(maxProxyHeaderBytes);
            datagram.resize(encodeProxyHeader(header, datagram));
            flowServer_->send(addresses_.flow, datagram);
            runUntil([this] { return !packets_.empty(); });
            EXPECT_EQ(packets_.front(), header);
        }
        {
            SCOPED_TRACE("request a ticket and use it as the key of a request");
            do {
                call("/wisteriadock/ticket", "b1");
                runUntil([this] { return answer_.has_value(); });
            } while (answer_->value().status == 503);
            HttpRequest request;
            request.method = "POST";
            request.authority = "tryon";
            request.headers = { { "idempotency-key", nlohmann::json::parse(answer_->value().body).at("ticket") } };
            answer_.reset();
            client_->send(
                request, Clock::now() + 20s, [this](HttpOutcome outcome) { answer_.emplace(std::move(outcome)); });
            runUntil([this] { return exchange_ != nullptr; });
            std::exchange(exchange_, nullptr)->respond({ .status = 201, .headers = {}, .body = "confirmed" });
            runUntil([this] { return answer_.has_value(); });
            EXPECT_EQ(answer_->value().body, "confirmed");
        }
        {
            SCOPED_TRACE("a request that is open when the stop begins is still answered");
            call("/overlay", "tryon");
            runUntil([this] { return exchange_ != nullptr; });
            std::raise(SIGTERM);
            exchange_->respond({ .status = 200, .headers = {}, .body = "overlay" });
            runUntil([this] { return answer_.has_value(); });
            ASSERT_TRUE(answer_->has_value());
            EXPECT_EQ(answer_->value().body, "overlay");
        }
        client_.reset();
        runUntil([this] { return isStopped_.load(); });
    }

    TEST_F(BalancerDaemonTest, StartFailsOnAddressInUse)
    {
        const auto startErrorOf = [this](Endpoint BalancerAddresses::*member) {
            BalancerSettings second = settings();
            second.listen.*member = addresses_.*member;
            const auto daemon = BalancerDaemon::start(second, "");
            return daemon ? std::string("started") : std::string(nameOf(daemon.error().code));
        };
        EXPECT_EQ(startErrorOf(&BalancerAddresses::flow), "unavailable");
        EXPECT_EQ(startErrorOf(&BalancerAddresses::peer), "unavailable");
        EXPECT_EQ(startErrorOf(&BalancerAddresses::request), "unavailable");
        EXPECT_EQ(startErrorOf(&BalancerAddresses::metrics), "unavailable");
    }

}

}
