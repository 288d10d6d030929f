#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>

namespace wisteriadock {

// Base of tests whose sockets use loopback addresses and run on the thread of the test.
class LoopbackTest : public testing::Test {
protected:
    // Runs the io_context until the condition holds. The limit only ends tests that would hang.
    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint limit = Clock::now() + std::chrono::seconds(30);
        while (!condition()) {
            ASSERT_LT(Clock::now(), limit) << "the condition did not hold in time";
            context_.restart();
            context_.run_one_for(std::chrono::milliseconds(10));
        }
    }

    static constexpr Endpoint anyLoopbackPort { 0x7f000001, 0 };

    boost::asio::io_context context_;
};

}
