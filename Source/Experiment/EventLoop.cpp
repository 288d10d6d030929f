#include "Experiment/EventLoop.h"

#include <fmt/format.h>

#include <csignal>

namespace wisteriadock {

namespace {

    Error interruption() { return { ErrorCode::Cancelled, "the run was interrupted by a signal" }; }

}

EventLoop::EventLoop()
    : signals_(context_, SIGINT, SIGTERM)
{
    signals_.async_wait([this](const boost::system::error_code& error, int) { interrupted_ = !error; });
}

Result<void> EventLoop::waitUntil(const std::function<bool()>& condition, Duration limit, std::string_view what)
{
    const TimePoint deadline = Clock::now() + limit;
    while (!condition()) {
        if (interrupted_)
            return interruption();
        if (Clock::now() >= deadline) {
            const auto seconds = std::chrono::duration_cast<std::chrono::duration<double>>(limit).count();
            return Error { ErrorCode::DeadlineExceeded, fmt::format("{}: not within {:.1f} s", what, seconds) };
        }
        runBriefly();
    }
    return boost::outcome_v2::success();
}

Result<void> EventLoop::runUntil(TimePoint end)
{
    while (Clock::now() < end) {
        if (interrupted_)
            return interruption();
        runBriefly();
    }
    return boost::outcome_v2::success();
}

void EventLoop::runBriefly()
{
    using namespace std::chrono_literals;
    context_.restart();
    context_.run_one_for(10ms);
}

}
