#include "StandIns/BackendAdmin.h"
#include "StandIns/BackendStandIn.h"
#include "StandIns/CallerStandIn.h"
#include "StandIns/FabricStandIn.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace wisteriadock {
namespace {

    constexpr Endpoint loopback { 0x7F000001, 0 };

    template <typename T> T valueOf(Result<T> result)
    {
        EXPECT_TRUE(result) << (result ? "" : result.error().toString());
        return std::move(result).value();
    }

    // Caller, fabric and backend stand-ins on one io_context without balancers: the fabric sends to the backend
    // servers.
    class LoopbackTest : public testing::Test {
    protected:
        void startBackend(const std::vector<std::string>& specs)
        {
            BackendStandInOptions options;
            options.admin = loopback;
            for (const std::string& spec : specs)
                options.servers.push_back(valueOf(BackendSpec::parse(spec)));
            backend_ = valueOf(BackendStandIn::start(context_, options));
        }

        void startFabric()
        {
            FabricStandInOptions options;
            options.listen = loopback;
            options.admin = loopback;
            for (const auto& server : backend_->servers())
                options.balancers.push_back({ server->flowAddress(), 1, 0 });
            fabric_ = valueOf(FabricStandIn::start(context_, options));
        }

        // Runs the caller to its end. The backend servers send their replies to it.
        void runCaller(const std::function<void(CallerStandInOptions&)>& change = [](auto&) {})
        {
            CallerStandInOptions options;
            options.fabric = fabric_->address();
            options.replyListen = loopback;
            options.flows.services = { { "tryon", serviceIdOf("tryon"), { 0xC0000201, 443 }, 1 } };
            options.flows.runTime = std::chrono::milliseconds(1500);
            options.flows.minLifetime = std::chrono::milliseconds(200);
            options.flows.packetInterval = std::chrono::milliseconds(20);
            options.flows.flowsPerSecond = 200;
            options.requests.services = options.flows.services;
            options.requests.runTime = options.flows.runTime;
            change(options);
            caller_ = valueOf(CallerStandIn::start(context_, options));
            for (const auto& server : backend_->servers())
                server->setReplyTo(caller_->replyAddress());
            context_.run();
        }

        boost::asio::io_context context_;
        std::unique_ptr<BackendStandIn> backend_;
        std::unique_ptr<FabricStandIn> fabric_;
        std::unique_ptr<CallerStandIn> caller_;
    };

    TEST_F(LoopbackTest, NoFlowBreaksWithOneServer)
    {
        startBackend({ "tryon-1@tryon@127.0.0.1:0@127.0.0.1:0@2@2000" });
        startFabric();
        runCaller();
        const CallerFlowCounts& counts = caller_->flows().counts();
        EXPECT_GT(counts.flowsEstablished, 100U);
        EXPECT_GT(counts.flowsEnded, 10U);
        EXPECT_EQ(counts.flowsBroken, 0U);
        EXPECT_EQ(counts.wrongServicePackets, 0U);
        const BackendFlowTable& flows = backend_->servers()[0]->flows();
        EXPECT_EQ(flows.counts().newFlows, counts.flowsEstablished);
        EXPECT_EQ(flows.counts().unknownFlowPackets, 0U);
        EXPECT_EQ(fabric_->sprayer().targets()[0].packets, counts.packetsSent);
    }

    TEST_F(LoopbackTest, FlowsBreakWithTwoServersAndNoBalancer)
    {
        startBackend(
            { "tryon-1@tryon@127.0.0.1:0@127.0.0.1:0@2@2000", "tryon-2@tryon@127.0.0.1:0@127.0.0.1:0@2@2000" });
        startFabric();
        runCaller();
        EXPECT_GT(caller_->flows().counts().flowsEstablished, 100U);
        EXPECT_GT(caller_->flows().counts().flowsBroken, 50U);
        EXPECT_EQ(caller_->flows().counts().wrongServicePackets, 0U);
    }

    TEST_F(LoopbackTest, CallerAndServerCountPacketsForAnotherService)
    {
        startBackend(
            { "tryon-1@tryon@127.0.0.1:0@127.0.0.1:0@2@2000", "scan-1@scanintake@127.0.0.1:0@127.0.0.1:0@2@2000" });
        startFabric();
        runCaller();
        EXPECT_GT(caller_->flows().counts().wrongServicePackets, 0U);
        EXPECT_GE(backend_->servers()[1]->flows().counts().wrongServicePackets,
            caller_->flows().counts().wrongServicePackets);
    }

    TEST_F(LoopbackTest, RequestsAreAnsweredOrRefusedAsNotExecuted)
    {
        startBackend({ "tryon-1@tryon@127.0.0.1:0@127.0.0.1:0@2@2000" });
        startFabric();
        runCaller([&](CallerStandInOptions& options) {
            options.flows.flowsPerSecond = 0;
            options.balancers = { backend_->servers()[0]->requestAddress() };
            options.requests.balancers = 1;
            options.requests.requestsPerSecond = 200;
        });
        const CallerRequestCounts& counts = caller_->requests().counts();
        EXPECT_GT(counts.endedAs(RequestOutcome::Answered), 20U);
        EXPECT_GT(counts.endedAs(RequestOutcome::Refused), 20U) << "two slots are too few for all requests";
        EXPECT_EQ(
            counts.endedAs(RequestOutcome::Answered) + counts.endedAs(RequestOutcome::Refused), counts.requestsSent);

        const BackendRequestTracker& tracker = backend_->servers()[0]->requests();
        for (const RequestRecord& record : caller_->requests().records()) {
            const bool answered = record.attempts.back().outcome == RequestOutcome::Answered;
            EXPECT_EQ(tracker.keys().contains(record.key), answered) << record.key;
        }
    }

    TEST_F(LoopbackTest, CancelledRequestsStopTheirWork)
    {
        startBackend({ "tryon-1@tryon@127.0.0.1:0@127.0.0.1:0@100@2000" });
        startFabric();
        runCaller([&](CallerStandInOptions& options) {
            options.flows.flowsPerSecond = 0;
            options.balancers = { backend_->servers()[0]->requestAddress() };
            options.requests.balancers = 1;
            options.requests.requestsPerSecond = 50;
            options.requests.cancelShare = 1;
            options.requests.minWork = std::chrono::milliseconds(400);
            options.requests.maxWork = std::chrono::milliseconds(400);
        });
        const BackendRequestCounts& counts = backend_->servers()[0]->requests().counts();
        EXPECT_GT(counts.runs, 20U);
        EXPECT_EQ(counts.cancelled, counts.runs);
        EXPECT_EQ(caller_->requests().counts().endedAs(RequestOutcome::Cancelled), counts.runs);
    }

    TEST_F(LoopbackTest, AnInvalidAdminChangeChangesNothing)
    {
        startBackend(
            { "tryon-1@tryon@127.0.0.1:0@127.0.0.1:0@2@2000", "tryon-2@tryon@127.0.0.1:0@127.0.0.1:0@2@2000" });
        const auto& servers = backend_->servers();
        ASSERT_TRUE(changeBackends(servers, R"({"server": "tryon-2", "drain": true, "lag_milliseconds": 500})"));
        EXPECT_FALSE(servers[0]->requests().behaviour().draining);
        EXPECT_TRUE(servers[1]->requests().behaviour().draining);
        EXPECT_EQ(servers[1]->status().overrides().lag, std::chrono::milliseconds(500));

        for (const char* body :
            { "", "[]", R"({"server": "x", "slots": 9})", R"({"slots": 9, "slot": 9})", R"({"slots": 9, "drain": 1})",
                R"({"slots": 9, "health_lie": "fine"})", R"({"slots": 9, "reply_to": 7})", R"({"slots": -1})" }) {
            SCOPED_TRACE(body);
            EXPECT_FALSE(changeBackends(servers, body));
            EXPECT_EQ(servers[0]->requests().behaviour().slots, 2U);
        }

        const auto records = recordsOf(servers, "/records?new_flows=no", Clock::now());
        EXPECT_EQ(records["servers"]["tryon-1"]["service"], "tryon");
        EXPECT_EQ(records["servers"]["tryon-1"]["new_flow_count"], 0);
        EXPECT_FALSE(records["servers"]["tryon-1"].contains("new_flows"));
    }

}
}
