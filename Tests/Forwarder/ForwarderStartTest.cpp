#include "Forwarder/Forwarder.h"
#include "platform/Adapter.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    constexpr Endpoint anyPort { 0x7F000001, 0 };

    struct ForwarderStartTest : testing::Test {
        boost::asio::io_context context;
        std::unique_ptr<Http1Server> other = Http1Server::listen(context, anyPort, [](const auto&) {}).value();
        ForwarderSettings settings;

        ForwarderStartTest()
        {
            settings.vm = "vm";
            settings.availabilityZone = "walu";
            settings.flow = anyPort;
            settings.ready = anyPort;
            settings.peer = anyPort;
            settings.store = { 0x7F000001, 1 };
        }

        Result<std::unique_ptr<Forwarder<platform::Adapter>>> start()
        {
            return Forwarder<platform::Adapter>::start(settings, "");
        }
    };

    // Guards against a forwarder that exits because the port of its metrics is taken.
    TEST_F(ForwarderStartTest, StartsWhenTheMetricsPortIsTaken)
    {
        settings.metrics = other->address();
        EXPECT_TRUE(start());
    }

    TEST_F(ForwarderStartTest, FailsWhenTheReadinessPortIsTaken)
    {
        settings.ready = other->address();
        const auto result = start();
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().code, ErrorCode::Unavailable);
        EXPECT_NE(result.error().detail.find(other->address().toString()), std::string::npos);
    }

}

}
