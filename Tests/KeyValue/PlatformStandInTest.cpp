#include "KeyValue/StandInFixture.h"

#include <random>

namespace wisteriadock {
namespace {

    class PlatformStandInTest : public StandInFixture {
    protected:
        std::vector<Vm> listVms()
        {
            return await<std::vector<Vm>>([&](auto done) { client_->listVms(testDeadline(), done); }).value();
        }
    };

    TEST_F(PlatformStandInTest, VmListSetByAdmin)
    {
        EXPECT_TRUE(listVms().empty());
        const std::string list = R"("vms":[{"name":"vm-1","availability_zone":"walu",)"
                                 R"("peer_address":"127.0.0.1:7000","state":"leaving"}])";
        ASSERT_EQ(request("POST", "/admin/vms", "{" + list + "}").status, 200);
        const auto vms = listVms();
        ASSERT_EQ(vms.size(), 1U);
        EXPECT_EQ(vms[0].name, "vm-1");
        EXPECT_EQ(vms[0].availabilityZone, "walu");
        EXPECT_EQ(vms[0].peerAddress, "127.0.0.1:7000");
        EXPECT_EQ(vms[0].state, VmState::Leaving);
        ASSERT_EQ(request("POST", "/admin/vms", R"({"lag_ms":3600000,"vms":[]})").status, 200);
        EXPECT_EQ(listVms().size(), 1U) << "the new list is delayed";
    }

    TEST_F(PlatformStandInTest, SnapshotAndRestore)
    {
        ASSERT_TRUE(write("head", 0, "one"));
        EXPECT_EQ(request("POST", "/admin/restore", R"({"name":"old"})").status, 404);
        ASSERT_EQ(request("POST", "/admin/snapshot", R"({"name":"old"})").status, 200);
        ASSERT_TRUE(write("head", 1, "two"));
        ASSERT_EQ(request("POST", "/admin/restore", R"({"name":"old"})").status, 200);
        EXPECT_EQ(client_->era(), 0U);
        EXPECT_EQ(get("head").value().value, "one");
        EXPECT_EQ(client_->era(), 1U);
        EXPECT_EQ(counters()["revision"], 1);
    }

    TEST_F(PlatformStandInTest, AdminDuringOutage)
    {
        setFaults(R"({"down":"unavailable","slow_ms":5,"lose_answers":{"get":2}})");
        EXPECT_FALSE(get("head"));
        const Json now = counters();
        EXPECT_EQ(now["calls"]["get"], 0) << "failed calls have no effect";
        EXPECT_EQ(now["calls_failed"], 1);
        const Json faults = Json::parse(request("GET", "/admin/faults", "").body);
        EXPECT_EQ(faults["down"], "unavailable");
        EXPECT_EQ(faults["slow_ms"], 5);
        EXPECT_EQ(faults["lose_answers"]["get"], 2);
    }

    // Guards against a watch that stays open because it was cancelled before a slow stand-in started it.
    TEST_F(PlatformStandInTest, WatchCancelledBeforeItStarts)
    {
        setFaults(R"({"slow_ms":500})");
        const std::string body = R"({"key":"head","after_revision":0,"timeout_ms":3600000})";
        const HttpRequest watch { "POST", "/v1/watch", standIn_->address().toString(), {}, body };
        std::optional<HttpFailureKind> end;
        admin_->send(watch, Clock::now() + std::chrono::milliseconds(200),
            [&](const HttpOutcome& outcome) { end = outcome.error().kind; });
        runUntil([&] { return end.has_value(); });
        EXPECT_EQ(end, HttpFailureKind::DeadlineExceeded);
        EXPECT_FALSE(get("head")) << "answered after the delayed watch";
        EXPECT_EQ(counters()["waiting_watches"], 0);
    }

    TEST_F(PlatformStandInTest, MalformedRequestsChangeNothing)
    {
        for (const char* body : { "", "[]", "{", R"({"key":7})", R"({"key":"k","expected_revision":-1,"value":"v"})",
                 R"({"key":"k","expected_revision":0,"value":null})",
                 R"({"key":"k","expected_revision":0,"value":"v","lease":"x"})" }) {
            SCOPED_TRACE(body);
            EXPECT_EQ(request("POST", "/v1/compare_and_swap", body).status, 400);
        }
        for (const char* body : { R"({"down":"sideways"})", R"({"slow_ms":99999999999})", R"({"speed":1})",
                 R"({"slow_ms":7,"lose_answers":{"nothing":1}})", R"({"lose_answers":3})" }) {
            SCOPED_TRACE(body);
            EXPECT_EQ(request("POST", "/admin/faults", body).status, 400);
        }
        EXPECT_EQ(Json::parse(request("GET", "/admin/faults", "").body)["slow_ms"], 0);
        EXPECT_EQ(request("GET", "/v1/get", "").status, 400);
        EXPECT_EQ(request("POST", "/v2/get", "{}").status, 400);
        EXPECT_EQ(request("GET", "/admin/nothing", "").status, 404);
        const std::string large(platformValueLimit + 1, 'v');
        EXPECT_EQ(request("POST", "/v1/compare_and_swap",
                      Json { { "key", "k" }, { "expected_revision", 0 }, { "value", large } }.dump())
                      .status,
            413);
        EXPECT_EQ(standIn_->store().revision(), 0U);
    }

    TEST_F(PlatformStandInTest, MutatedRequestBodies)
    {
        std::mt19937 random(20);
        const std::string seeds[] = {
            R"({"key":"k","expected_revision":0,"value":"v","lease":1})",
            R"({"key":"k","after_revision":0,"timeout_ms":0})",
            R"({"time_to_live_ms":1000})",
            R"({"vms":[{"name":"n","availability_zone":"z","peer_address":"p","state":"live"}],"lag_ms":0})",
        };
        for (int round = 0; round < 400; ++round) {
            std::string body = seeds[random() % std::size(seeds)];
            for (int change = 0; change < 3; ++change)
                body[random() % body.size()] = static_cast<char>(random());
            const auto call = static_cast<PlatformCall>(random() % platformCallKinds);
            const bool admin = random() % 4 == 0;
            const int status = request("POST", admin ? "/admin/vms" : pathOf(call), body).status;
            EXPECT_TRUE(status == 200 || status == 400 || status == 404 || status == 409) << status << ": " << body;
        }
        EXPECT_TRUE(write("after", 0, "alive"));
    }

}
}
