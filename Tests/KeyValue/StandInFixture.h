#pragma once

#include "KeyValue/PlatformClient.h"
#include "StandIns/Platform/PlatformStandIn.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>

namespace wisteriadock {

// Runs the stand-in of the platform and a client of it in one process, over loopback on an ephemeral port.
class StandInFixture : public testing::Test {
protected:
    // Fails a test that hangs; no passing test waits for it.
    static constexpr std::chrono::seconds testTimeout { 20 };

    static TimePoint testDeadline() { return Clock::now() + testTimeout; }

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = testDeadline();
        context_.restart();
        while (!condition() && Clock::now() < end)
            context_.run_one_until(end);
        ASSERT_TRUE(condition()) << "timed out waiting for the condition";
    }

    template <typename Value> Result<Value> await(const std::function<void(std::function<void(Result<Value>)>)>& call)
    {
        std::optional<Result<Value>> result;
        call([&result](Result<Value> answer) { result = std::move(answer); });
        EXPECT_FALSE(result) << "the callback ran inside the call";
        runUntil([&] { return result.has_value(); });
        if (!result)
            return Error { ErrorCode::Cancelled, "no answer" };
        return *std::move(result);
    }

    Result<PlatformEntry> get(const std::string& key)
    {
        return await<PlatformEntry>([&](auto done) { client_->get(key, testDeadline(), done); });
    }

    Result<std::uint64_t> write(const std::string& key, std::uint64_t expected, const std::string& value,
        std::optional<std::uint64_t> lease = std::nullopt, std::optional<TimePoint> deadline = std::nullopt)
    {
        return await<std::uint64_t>([&](auto done) {
            client_->compareAndSwap(key, expected, value, lease, deadline.value_or(testDeadline()), done);
        });
    }

    HttpResponse request(const std::string& method, const std::string& path, const std::string& body)
    {
        HttpRequest message;
        message.method = method;
        message.path = path;
        message.authority = standIn_->address().toString();
        message.body = body;
        std::optional<HttpResponse> response;
        bool ended = false;
        admin_->send(message, testDeadline(), [&](const HttpOutcome& outcome) {
            ended = true;
            if (outcome)
                response = outcome.value();
        });
        runUntil([&] { return ended; });
        return response.value_or(HttpResponse { 0, {}, "" });
    }

    void setFaults(const std::string& faults) { EXPECT_EQ(request("POST", "/admin/faults", faults).status, 200); }

    Json counters() { return Json::parse(request("GET", "/admin/counters", "").body); }

    boost::asio::io_context context_;
    std::shared_ptr<PlatformStandIn> standIn_
        = PlatformStandIn::listen(context_, { Endpoint::parse("127.0.0.1:1").value().address, 0 }).value();
    std::optional<PlatformClient> client_ { std::in_place, context_, standIn_->address() };
    std::optional<Http2Client> admin_ { std::in_place, context_, standIn_->address() };
};

}
