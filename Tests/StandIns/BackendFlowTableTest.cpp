#include "StandIns/BackendFlowTable.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    class BackendFlowTableTest : public testing::Test {
    protected:
        FlowPayload packet(std::uint64_t flow, std::uint32_t sequence) const
        {
            FlowPayload payload;
            payload.flow = flow;
            payload.sequence = sequence;
            payload.service = service_;
            return payload;
        }

        std::optional<FlowStatus> statusFor(const FlowPayload& payload)
        {
            const auto reply = table_.handle(payload, clock_.now());
            return reply ? std::optional(reply->status) : std::nullopt;
        }

        const BackendServerId serverId_ = backendServerIdOf("tryon-1");
        const ServiceId service_ = serviceIdOf("tryon");
        ManualClock clock_;
        BackendFlowTable table_ { serverId_, service_, { .connections = 2, .maxNewFlowRecords = 3 } };
    };

    TEST_F(BackendFlowTableTest, OnlyAnOpeningPacketCreatesAFlow)
    {
        EXPECT_EQ(statusFor(packet(7, 1)), FlowStatus::UnknownFlow);
        const TimePoint opened = clock_.now();
        EXPECT_EQ(statusFor(packet(7, 0)), FlowStatus::Ok);
        clock_.advance(std::chrono::seconds(1));
        const auto reply = table_.handle(packet(7, 1), clock_.now());
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->kind, FlowPayloadKind::Reply);
        EXPECT_EQ(reply->status, FlowStatus::Ok);
        EXPECT_EQ(reply->sequence, 1U);
        EXPECT_EQ(reply->backendServer, serverId_);

        EXPECT_EQ(table_.counts().unknownFlowPackets, 1U);
        ASSERT_EQ(table_.newFlows().size(), 1U);
        EXPECT_EQ(table_.newFlows()[0].flow, 7U);
        EXPECT_EQ(table_.newFlows()[0].firstSeen, opened);
    }

    TEST_F(BackendFlowTableTest, PacketsForOtherServicesAreRejected)
    {
        EXPECT_EQ(statusFor(packet(7, 0)), FlowStatus::Ok);
        FlowPayload foreign = packet(7, 1);
        foreign.service = serviceIdOf("scanintake");
        const auto reply = table_.handle(foreign, clock_.now());
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, FlowStatus::WrongService);
        EXPECT_EQ(reply->service, service_);
        EXPECT_EQ(table_.counts().wrongServicePackets, 1U);
    }

    TEST_F(BackendFlowTableTest, OpeningsAboveTheConnectionLimitAreNotAnswered)
    {
        EXPECT_EQ(statusFor(packet(1, 0)), FlowStatus::Ok);
        EXPECT_EQ(statusFor(packet(2, 0)), FlowStatus::Ok);
        EXPECT_EQ(statusFor(packet(3, 0)), std::nullopt);
        EXPECT_EQ(table_.counts().refusedFlows, 1U);
        EXPECT_EQ(table_.liveFlows(), 2U);

        SCOPED_TRACE("the end of a flow allows a new one");
        FlowPayload last = packet(1, 1);
        last.end = true;
        EXPECT_EQ(statusFor(last), FlowStatus::Ok);
        EXPECT_EQ(table_.liveFlows(), 1U);
        EXPECT_EQ(statusFor(packet(3, 0)), FlowStatus::Ok);
        EXPECT_EQ(table_.counts().peakFlows, 2U);
    }

    TEST_F(BackendFlowTableTest, EndedFlowsAcceptLatePackets)
    {
        FlowPayload last = packet(1, 0);
        last.end = true;
        EXPECT_EQ(statusFor(last), FlowStatus::Ok);
        clock_.advance(std::chrono::seconds(4));
        table_.expire(clock_.now());
        EXPECT_EQ(statusFor(packet(1, 5)), FlowStatus::Ok);
        clock_.advance(std::chrono::seconds(6));
        table_.expire(clock_.now());
        EXPECT_EQ(statusFor(packet(1, 5)), FlowStatus::UnknownFlow);
        EXPECT_EQ(table_.liveFlows(), 0U);
    }

    TEST_F(BackendFlowTableTest, IdleFlowsExpireAndTheirRecordsAreLimited)
    {
        for (std::uint64_t flow = 1; flow <= 5; ++flow) {
            EXPECT_EQ(statusFor(packet(flow, 0)), FlowStatus::Ok);
            clock_.advance(std::chrono::seconds(301));
            table_.expire(clock_.now());
            EXPECT_EQ(table_.liveFlows(), 0U);
        }
        EXPECT_EQ(table_.newFlows().size(), 3U);
        EXPECT_EQ(table_.counts().newFlows, 5U);
        EXPECT_EQ(table_.counts().droppedRecords, 2U);
    }

}
}
