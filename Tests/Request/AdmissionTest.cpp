#include "Request/Admission.h"
#include "Request/RetryPolicy.h"
#include "Request/SlotShares.h"

#include "Net/Http2Client.h"

#include <gtest/gtest.h>

namespace wisteriadock::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const ServiceId service = serviceIdOf("tryon");

    MembersView makeView(std::size_t count)
    {
        MembersView view;
        for (std::size_t i = 0; i < count; ++i) {
            Member member;
            member.id = balancerIdOf("balancer-" + std::to_string(i));
            member.availabilityZone = i % 2 == 0 ? "walu" : "nabua";
            member.incarnation = 1;
            member.state = MemberState::Serving;
            view.members.push_back(member);
        }
        return view;
    }

    Configuration makeConfiguration(std::size_t servers, std::uint32_t slots, const std::string& zone)
    {
        Configuration configuration;
        for (std::size_t i = 0; i < servers; ++i) {
            BackendServer server;
            server.id = { static_cast<std::uint32_t>(i + 1) };
            server.service = service;
            server.slots = slots;
            server.availabilityZone = zone;
            configuration.backendServers.push_back(server);
        }
        return configuration;
    }

    class AdmissionTest : public ::testing::Test {
    public:
        AdmissionTest()
        {
            for (const Member& member : view.members) {
                holders.push_back({ member.id, member.incarnation });
                admissions.emplace_back(holders.back(), AdmissionLimits {}, holders.size());
            }
        }

        void configure(const Configuration& configuration)
        {
            for (Admission& admission : admissions)
                admission.configure(configuration, view, clock.now());
        }

        // Delivers messages between the two balancers.
        void deliver()
        {
            for (bool isQuiet = false; !isQuiet;) {
                isQuiet = true;
                for (std::size_t from = 0; from < admissions.size(); ++from) {
                    for (const OutgoingMessage& envelope : admissions[from].takeMessages()) {
                        isQuiet = false;
                        Admission& to = admissions[envelope.to == holders[0] ? 0 : 1];
                        std::visit(
                            [&](const auto& message) {
                                if constexpr (requires { to.handle(holders[from], message, clock.now()); })
                                    to.handle(holders[from], message, clock.now());
                            },
                            envelope.message);
                    }
                }
            }
        }

        std::size_t requestSlots(std::size_t at, int count, Duration timeout = seconds(10))
        {
            for (int i = 0; i < count; ++i)
                admissions[at].request(++lastWork, service, clock.now() + timeout, clock.now());
            return admissions[at].takeGrants().size();
        }

        MembersView view = makeView(2);
        std::vector<BalancerInstance> holders;
        std::vector<Admission> admissions;
        ManualClock clock;
        WorkId lastWork = 0;
    };

}

TEST(SlotShares, AssignEachSlotOnceWithinTheServersZone)
{
    const MembersView view = makeView(7);
    for (const std::uint32_t slots : { 1u, 2u, 3u, 9u }) {
        for (const BackendServer& server : makeConfiguration(15, slots, "walu").backendServers) {
            std::uint32_t dealt = 0;
            for (const Member& member : view.members) {
                const std::uint32_t share = slotShareOf(server, view, member.id);
                EXPECT_TRUE(share == 0 || member.availabilityZone == "walu");
                dealt += share;
            }
            EXPECT_EQ(dealt, slots);
        }
    }
}

TEST_F(AdmissionTest, BorrowsAndReturnsAFreeSlot)
{
    configure(makeConfiguration(2, 1, "walu"));
    ASSERT_EQ(admissions[0].shareOf({ 1 }), 1u);
    ASSERT_EQ(requestSlots(1, 1), 0u);
    deliver();
    const auto grants = admissions[1].takeGrants();
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(requestSlots(0, 2), 1u);
    admissions[1].release(grants[0].work, true, clock.now());
    deliver();
    EXPECT_EQ(admissions[0].takeGrants().size(), 1u);
}

// Guards against slots that stay reserved after their borrower failed.
TEST_F(AdmissionTest, LoanOfAFailedBorrowerExpires)
{
    configure(makeConfiguration(1, 1, "walu"));
    requestSlots(1, 1);
    deliver();
    ASSERT_EQ(admissions[0].slotsInUse({ 1 }), 1u);
    clock.advance(seconds(66));
    admissions[0].tick(clock.now());
    EXPECT_EQ(admissions[0].slotsInUse({ 1 }), 0u);
}

TEST_F(AdmissionTest, RefusesWorkThatCannotMeetItsDeadline)
{
    configure(makeConfiguration(1, 2, "walu"));
    requestSlots(0, 2);
    for (WorkId work = 1; work <= 2; ++work) {
        clock.advance(milliseconds(100));
        admissions[0].release(work, true, clock.now());
    }
    ASSERT_EQ(requestSlots(0, 2), 2u);
    EXPECT_EQ(requestSlots(0, 100, milliseconds(1000)), 0u);
    const std::size_t queued = admissions[0].queued(service);
    EXPECT_GT(queued, 5u);
    EXPECT_LT(queued, 50u);
    EXPECT_EQ(admissions[0].takeRefusals().size(), 100 - queued);

    SCOPED_TRACE("queued work is refused as soon as its deadline is infeasible");
    clock.advance(milliseconds(990));
    admissions[0].tick(clock.now());
    EXPECT_EQ(admissions[0].queued(service), 0u);
    EXPECT_EQ(admissions[0].takeRefusals().size(), queued);
}

TEST_F(AdmissionTest, LimitsDrainingSheddingAndColdServers)
{
    Configuration configuration = makeConfiguration(1, 4, "walu");
    configure(configuration);
    {
        SCOPED_TRACE("a shedding server gets no work for a while");
        admissions[0].pauseServer({ 1 }, milliseconds(200), clock.now());
        EXPECT_EQ(requestSlots(0, 1), 0u);
        clock.advance(milliseconds(400));
        admissions[0].tick(clock.now());
        EXPECT_EQ(admissions[0].takeGrants().size(), 1u);
    }
    {
        SCOPED_TRACE("a new server starts with one slot, a draining one gets no work");
        BackendServer cold = configuration.backendServers[0];
        cold.id = { 2 };
        cold.slowStartSeconds = 100;
        configuration.backendServers = { cold };
        configure(configuration);
        EXPECT_EQ(requestSlots(0, 4, seconds(10)), 1u);
        clock.advance(seconds(1));
        configuration.backendServers[0].state = BackendServerState::Draining;
        configure(configuration);
        admissions[0].release(lastWork - 3, true, clock.now());
        EXPECT_TRUE(admissions[0].takeGrants().empty());
    }
    EXPECT_EQ(requestSlots(0, 1), 0u);
    EXPECT_EQ(admissions[0].takeRefusals().back().reason, RefusalReason::NoServer);
}

// Guards against retry amplification when every attempt fails.
TEST(RetryPolicy, LimitsRetriesAndNeverResendsWorkThatMayHaveRun)
{
    RetryPolicy policy({});
    for (const auto kind : { HttpFailureKind::Lost, HttpFailureKind::DeadlineExceeded, HttpFailureKind::Incomplete }) {
        EXPECT_FALSE(policy.takeRetry(kind, false, 1));
        EXPECT_TRUE(policy.takeRetry(kind, true, 1));
    }
    EXPECT_TRUE(policy.takeRetry(HttpFailureKind::NotSent, false, 1));
    EXPECT_TRUE(policy.takeRetry(HttpFailureKind::Refused, false, 2));
    EXPECT_FALSE(policy.takeRetry(HttpFailureKind::Refused, false, 3));
    EXPECT_FALSE(policy.takeRetry(HttpFailureKind::Cancelled, true, 1));
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        policy.countRequest();
        retries += policy.takeRetry(HttpFailureKind::Refused, true, 1);
    }
    EXPECT_LE(retries, 100 + 20);
    EXPECT_GE(retries, 100);
}

}
