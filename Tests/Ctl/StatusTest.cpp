#include "Ctl/StatusReader.h"
#include "Ctl/StatusReport.h"
#include "Net/Http2Server.h"

#include <gmock/gmock.h>

namespace wisteriadock {
namespace {

    using testing::HasSubstr;

    StatusProbe probe(std::uint16_t port, const std::string& zone, std::uint64_t version)
    {
        return { Endpoint { 0x7f000001, port },
            BalancerStatus { "balancer-" + std::to_string(port), zone, version, "live" } };
    }

    Result<BalancerStatus> unreached() { return Error { ErrorCode::Unavailable, "refused" }; }

    TEST(StatusTest, ReportByAvailabilityZone)
    {
        {
            SCOPED_TRACE("every balancer runs the newest version");
            const CtlResult result = reportStatus(7, { probe(1, "walu", 7), probe(2, "nabua", 7) });
            EXPECT_EQ(result.exit, CtlExit::Done);
            EXPECT_EQ(result.json["status"], "in_force");
            EXPECT_EQ(result.json["availability_zones"].size(), 2U);
        }
        {
            SCOPED_TRACE("one balancer runs an older version and one is unreachable");
            std::vector<StatusProbe> probes { probe(1, "walu", 7), probe(2, "walu", 6) };
            EXPECT_EQ(reportStatus(7, probes).exit, CtlExit::Refused);
            EXPECT_THAT(reportStatus(7, probes).text,
                HasSubstr("availability zone walu: 2 balancers, 1 on another version\n  balancer-1 (127.0.0.1:1): "
                          "version 7, live"));
            probes.push_back({ Endpoint { 0x7f000001, 3 }, unreached() });
            const CtlResult result = reportStatus(7, probes);
            EXPECT_EQ(result.exit, CtlExit::Unavailable);
            EXPECT_EQ(result.json["unreached"].size(), 1U);
        }
        {
            SCOPED_TRACE("the platform is unreachable, and the report still shows the balancers");
            const CtlResult result = reportStatus(Error { ErrorCode::Unavailable, "down" }, { probe(1, "walu", 7) });
            EXPECT_EQ(result.exit, CtlExit::Unavailable);
            EXPECT_EQ(result.json["highest_version_in_force"], 7);
            EXPECT_FALSE(result.json.contains("newest_version"));
        }
    }

    // Guards against a status report that hides why balancers ignore a platform restored from an older copy.
    TEST(StatusTest, ReportsAnOlderCopyOnThePlatform)
    {
        const CtlResult result = reportStatus(5, { probe(1, "walu", 7) });
        EXPECT_EQ(result.json["older_copy_on_platform"], true);
        EXPECT_THAT(result.text, HasSubstr("--above_version 7"));
    }

    // Guards against incomplete responses and against control characters in names printed to the terminal.
    TEST(StatusTest, RefusesMalformedStatus)
    {
        EXPECT_TRUE(BalancerStatus::parse(
            R"({"name":"b","availability_zone":"z","state":"live","configuration_version":3,"members":[]})"));
        for (const char* text : { "", "[]", "{}", R"({"name":"b","availability_zone":"z","state":"live"})",
                 R"({"name":"b","availability_zone":"z","state":"live","configuration_version":-1})",
                 R"({"name":"\u001b[2J","availability_zone":"z","state":"live","configuration_version":1})" })
            EXPECT_FALSE(BalancerStatus::parse(text)) << text;
    }

    // Guards against one unreachable balancer failing the whole read.
    TEST(StatusTest, ReadsFromAServerWhileAnotherIsClosed)
    {
        boost::asio::io_context context;
        const auto answer = [](const std::shared_ptr<Http2Exchange>& exchange) {
            EXPECT_EQ(exchange->request().path, "/status");
            exchange->respond(
                { 200, {}, R"({"name":"b1","availability_zone":"walu","state":"live","configuration_version":3})" });
        };
        auto server = Http2Server::listen(context, Endpoint { 0x7f000001, 0 }, answer);
        ASSERT_TRUE(server);
        auto gone = Http2Server::listen(context, Endpoint { 0x7f000001, 0 }, answer);
        ASSERT_TRUE(gone);
        const Endpoint closed = gone.value()->address();
        gone.value().reset();

        StatusReader reader(context);
        std::vector<StatusProbe> probes;
        reader.read({ server.value()->address(), closed }, Clock::now() + std::chrono::seconds(5),
            [&](std::vector<StatusProbe> read) { probes = std::move(read); });
        while (probes.empty())
            context.run_one();
        ASSERT_TRUE(probes[0].status) << probes[0].status.error().detail;
        EXPECT_EQ(probes[0].status.value().configurationVersion, 3U);
        ASSERT_FALSE(probes[1].status);
        EXPECT_EQ(probes[1].status.error().code, ErrorCode::Unavailable);
    }

}
}
