#include "StandIns/CallerFlows.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

namespace wisteriadock {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class CallerFlowsTest : public testing::Test {
    protected:
        // Returns the reply to a packet, or none.
        using Responder = std::function<std::optional<FlowPayload>(const FlowPayload&)>;

        static CallerFlowOptions options()
        {
            CallerFlowOptions options;
            options.services = { { "tryon", serviceIdOf("tryon"), { 0xC0000201, 443 }, 3 },
                { "scanintake", serviceIdOf("scanintake"), { 0xC0000202, 443 }, 1 } };
            options.flowsPerSecond = 50;
            options.runTime = seconds(10);
            return options;
        }

        static std::optional<FlowPayload> okReply(const FlowPayload& packet)
        {
            FlowPayload reply = packet;
            reply.kind = FlowPayloadKind::Reply;
            reply.backendServer = { 1 };
            return reply;
        }

        static Responder alteredFrom(std::uint32_t sequence, const std::function<void(FlowPayload&)>& alter)
        {
            return [=](const FlowPayload& packet) {
                auto reply = okReply(packet);
                if (packet.sequence >= sequence)
                    alter(*reply);
                return reply;
            };
        }

        // Runs the flows for the given time. Replies arrive one millisecond after their packets.
        void run(CallerFlows& flows, Duration time, const Responder& respond)
        {
            const TimePoint end = clock_.now() + time;
            while (clock_.now() < end) {
                std::vector<CallerPacket> due;
                flows.poll(clock_.now(), due);
                sent_.insert(sent_.end(), due.begin(), due.end());
                clock_.advance(milliseconds(1));
                for (const CallerPacket& packet : due) {
                    if (const auto reply = respond(packet.payload))
                        flows.handle(*reply, clock_.now());
                }
            }
        }

        // A single flow that lasts for the whole run.
        CallerFlowOptions oneLongLivedFlow() const
        {
            CallerFlowOptions one = options();
            one.flowsPerSecond = 0.000'001;
            one.longLivedShare = 1;
            one.idleShare = 0;
            return one;
        }

        FlowBreak onlyBreak(const CallerFlows& flows) const
        {
            EXPECT_EQ(flows.counts().flowsBroken, 1U);
            EXPECT_EQ(flows.breaks().size(), 1U);
            return flows.breaks().empty() ? FlowBreak {} : flows.breaks()[0];
        }

        ManualClock clock_;
        std::vector<CallerPacket> sent_;
    };

    TEST_F(CallerFlowsTest, NoFlowBreaksWithoutFaults)
    {
        CallerFlows flows(options(), clock_.now());
        run(flows, seconds(10), okReply);
        EXPECT_GT(flows.counts().flowsEstablished, 400U);
        EXPECT_EQ(flows.counts().flowsEstablished, flows.counts().flowsOpened);
        EXPECT_GT(flows.counts().flowsEnded, 100U);
        EXPECT_GT(flows.openFlows(), 20U) << "some flows last the whole run";
        EXPECT_EQ(flows.counts().flowsBroken, 0U);
        EXPECT_EQ(flows.counts().wrongServicePackets, 0U);
        EXPECT_EQ(flows.counts().packetsSent, sent_.size());
        EXPECT_EQ(flows.counts().replies, sent_.size());

        SCOPED_TRACE("each flow has its own client endpoint");
        std::set<std::pair<std::uint64_t, Endpoint>> clients;
        std::set<Endpoint> endpoints;
        for (const CallerPacket& packet : sent_) {
            clients.emplace(packet.payload.flow, packet.header.client);
            endpoints.insert(packet.header.client);
            EXPECT_FALSE(packet.payload.startMark);
        }
        EXPECT_EQ(clients.size(), flows.counts().flowsOpened);
        EXPECT_EQ(endpoints.size(), flows.counts().flowsOpened);
    }

    TEST_F(CallerFlowsTest, TheSameSeedGivesTheSamePackets)
    {
        const TimePoint start = clock_.now();
        CallerFlows first(options(), start);
        run(first, seconds(3), okReply);
        const auto packets = std::exchange(sent_, {});
        clock_ = ManualClock();
        ASSERT_EQ(clock_.now(), start);
        CallerFlows second(options(), start);
        run(second, seconds(3), okReply);
        ASSERT_EQ(packets.size(), sent_.size());
        for (std::size_t i = 0; i < packets.size(); ++i)
            EXPECT_EQ(packets[i].payload, sent_[i].payload);
    }

    TEST_F(CallerFlowsTest, StartMarksOnFirstPackets)
    {
        CallerFlowOptions marked = options();
        marked.startMarkShare = 1;
        CallerFlows flows(marked, clock_.now());
        run(flows, seconds(2), okReply);
        for (const CallerPacket& packet : sent_)
            EXPECT_EQ(packet.payload.startMark, packet.payload.sequence == 0);
    }

    TEST_F(CallerFlowsTest, AnUnknownFlowReplyBreaksAnEstablishedFlowOnce)
    {
        CallerFlows flows(oneLongLivedFlow(), clock_.now());
        run(flows, seconds(3), alteredFrom(3, [](FlowPayload& reply) {
            reply.status = FlowStatus::UnknownFlow;
            reply.backendServer = { 2 };
        }));
        const FlowBreak broken = onlyBreak(flows);
        EXPECT_EQ(broken.kind, FlowBreakKind::UnknownFlow);
        EXPECT_EQ(broken.sequence, 3U);
        EXPECT_EQ(broken.expectedServer.value, 1U);
        EXPECT_EQ(broken.answeringServer.value, 2U);
        EXPECT_EQ(flows.openFlows(), 0U);
    }

    TEST_F(CallerFlowsTest, AReplyFromAnotherServerBreaksAnEstablishedFlow)
    {
        CallerFlows flows(oneLongLivedFlow(), clock_.now());
        run(flows, seconds(3), alteredFrom(2, [](FlowPayload& reply) { reply.backendServer = { 2 }; }));
        EXPECT_EQ(onlyBreak(flows).kind, FlowBreakKind::ChangedServer);
    }

    TEST_F(CallerFlowsTest, RepliesFromAnotherServiceAreCountedWithAnyStatus)
    {
        for (const bool reportsWrongService : { false, true }) {
            SCOPED_TRACE(reportsWrongService ? "status WrongService" : "status Ok");
            CallerFlows flows(oneLongLivedFlow(), clock_.now());
            run(flows, seconds(3), alteredFrom(2, [&](FlowPayload& reply) {
                reply.status = reportsWrongService ? FlowStatus::WrongService : FlowStatus::Ok;
                reply.service = { 99 };
            }));
            EXPECT_EQ(flows.counts().wrongServicePackets, 1U);
            EXPECT_EQ(onlyBreak(flows).kind, FlowBreakKind::WrongService);
        }
    }

    TEST_F(CallerFlowsTest, ConsecutiveLostPacketsStallAFlow)
    {
        const auto answeringEvery = [](std::uint32_t n) {
            return [n](const FlowPayload& packet) {
                return packet.sequence == 0 || packet.sequence % n == 0 ? okReply(packet) : std::nullopt;
            };
        };
        {
            SCOPED_TRACE("seven packets in a row are lost");
            CallerFlows flows(oneLongLivedFlow(), clock_.now());
            run(flows, seconds(9), answeringEvery(8));
            EXPECT_EQ(flows.counts().flowsBroken, 0U);
        }
        {
            SCOPED_TRACE("eight packets in a row are lost");
            CallerFlows flows(oneLongLivedFlow(), clock_.now());
            run(flows, seconds(9), answeringEvery(9));
            EXPECT_EQ(onlyBreak(flows).kind, FlowBreakKind::Stalled);
            EXPECT_EQ(flows.counts().flowsStalled, 1U);
        }
    }

    // Guards against counting a flow as broken because a second server answers its repeated opening packet.
    TEST_F(CallerFlowsTest, ARepeatedOpeningAtASecondServerBreaksNoFlow)
    {
        CallerFlows flows(oneLongLivedFlow(), clock_.now());
        FlowPayload opening;
        run(flows, milliseconds(500), [&](const FlowPayload& packet) {
            opening = packet;
            return std::nullopt;
        });
        EXPECT_EQ(flows.counts().flowsEstablished, 0U);
        EXPECT_GT(sent_.size(), 1U) << "the opening is repeated";
        EXPECT_EQ(opening.sequence, 0U);

        FlowPayload reply = *okReply(opening);
        flows.handle(reply, clock_.now());
        reply.backendServer = { 2 };
        flows.handle(reply, clock_.now());
        run(flows, seconds(3), okReply);
        EXPECT_EQ(flows.counts().flowsEstablished, 1U);
        EXPECT_EQ(flows.counts().flowsBroken, 0U);
        EXPECT_EQ(flows.counts().openingsAtOtherServers, 1U);
    }

    TEST_F(CallerFlowsTest, AnUnansweredFlowIsNotEstablished)
    {
        CallerFlows flows(oneLongLivedFlow(), clock_.now());
        run(flows, seconds(12), [](const FlowPayload&) { return std::nullopt; });
        EXPECT_EQ(flows.counts().flowsNotEstablished, 1U);
        EXPECT_EQ(flows.counts().flowsBroken, 0U);
        EXPECT_EQ(flows.openFlows(), 0U);
    }

    TEST_F(CallerFlowsTest, LimitsOnOpenFlowsAndRecordedBreaks)
    {
        CallerFlowOptions limited = options();
        limited.maxOpenFlows = 10;
        limited.maxBreaks = 5;
        CallerFlows flows(limited, clock_.now());
        run(flows, seconds(5), alteredFrom(2, [](FlowPayload& reply) { reply.status = FlowStatus::UnknownFlow; }));
        EXPECT_LE(flows.openFlows(), 10U);
        EXPECT_GT(flows.counts().flowsSkipped, 0U);
        EXPECT_GT(flows.counts().flowsBroken, 5U);
        EXPECT_EQ(flows.breaks().size(), 5U);
    }

}
}
