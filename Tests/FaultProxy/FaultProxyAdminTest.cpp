#include "FaultProxy/FaultProxyAdmin.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace wisteriadock {
namespace {

    class FaultProxyAdminTest : public testing::Test {
    protected:
        HttpResponse post(const std::string& path, const std::string& body)
        {
            return admin_.answer({ .method = "POST", .path = path, .authority = "", .headers = {}, .body = body });
        }
        nlohmann::json counters()
        {
            return nlohmann::json::parse(
                admin_.answer({ .path = "/counters", .authority = "", .headers = {}, .body = "" }).body);
        }

        boost::asio::io_context context_;
        FaultProxy proxy_ { context_, 1 };
        FaultProxyAdmin admin_ { proxy_ };
    };

    TEST_F(FaultProxyAdminTest, LinksAreOpenedAndTheirTargetsChanged)
    {
        const auto opened = post("/links", R"({"name": "a", "protocol": "udp", "listen": "127.0.0.1:0"})");
        ASSERT_EQ(opened.status, 200) << opened.body;
        const auto retargeted = post("/links", R"({"name": "a", "protocol": "udp", "target": "127.0.0.1:9"})");
        EXPECT_EQ(opened.body, retargeted.body);
        EXPECT_EQ(proxy_.links().at("a")->options().target.port, 9);
        EXPECT_EQ(counters()["links"]["a"]["to_target"]["units"], 0);
        EXPECT_EQ(counters()["faults_injected"], 0);
    }

    TEST_F(FaultProxyAdminTest, MalformedRequestsAreRejected)
    {
        EXPECT_EQ(post("/links", "{").status, 400);
        EXPECT_EQ(post("/links", "[]").status, 400);
        EXPECT_EQ(post("/links", R"({"protocol": "udp"})").status, 400);
        EXPECT_EQ(post("/links", R"({"name": "a", "protocol": "sctp"})").status, 400);
        EXPECT_EQ(post("/links", R"({"name": "a", "listen": "nowhere:0"})").status, 400);
        EXPECT_EQ(post("/faults", R"({"loss": 1.5})").status, 400);
        EXPECT_EQ(post("/faults", R"({"delay_ms": "5"})").status, 400);
        EXPECT_EQ(post("/faults", R"({"cut": 1})").status, 400);
        EXPECT_EQ(post("/faults", R"({"direction": "sideways"})").status, 400);
        EXPECT_EQ(post("/faults", R"({"losss": 1})").status, 400);
        EXPECT_EQ(post("/elsewhere", "{}").status, 404);
        EXPECT_TRUE(proxy_.links().empty());
    }

    TEST_F(FaultProxyAdminTest, FaultPatternsMayPrecedeTheirLinks)
    {
        EXPECT_EQ(post("/faults", R"({"link": "peer/*", "direction": "to_target", "cut": true})").status, 200);
        EXPECT_EQ(post("/links", R"({"name": "peer/b1", "protocol": "udp"})").status, 200);
    }

}

TEST(FaultRulesTest, MatchingRulesAreCombinedAndEmptyOnesRemoved)
{
    using namespace std::chrono_literals;
    FaultRules rules;
    rules.set({ "peer/*", "*" }, Direction::ToTarget, { .delay = 2ms });
    rules.set({ "peer/b1", "127.0.2.*" }, Direction::ToTarget, { .delay = 3ms, .cut = true });

    const FaultSettings both = rules.settingsFor("peer/b1", "127.0.2.7:4000", Direction::ToTarget);
    EXPECT_EQ(both.delay, 5ms);
    EXPECT_TRUE(both.cut);
    EXPECT_FALSE(rules.settingsFor("peer/b1", "127.0.3.7:4000", Direction::ToTarget).cut);
    EXPECT_EQ(rules.settingsFor("peer/b1", "127.0.2.7:4000", Direction::ToSource), FaultSettings());

    rules.set({ "peer/b1", "127.0.2.*" }, Direction::ToTarget, {});
    EXPECT_EQ(rules.settingsFor("peer/b1", "127.0.2.7:4000", Direction::ToTarget).delay, 2ms);
}

}
