#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string_view>

namespace wisteriadock {

// Runs all handlers of an experiment in a single thread. After SIGTERM or SIGINT every wait fails with Cancelled, so
// that the run returns and its child processes are killed.
class EventLoop {
public:
    EventLoop();

    boost::asio::io_context& context() { return context_; }

    // Runs until the condition holds. Fails with DeadlineExceeded after the limit; `what` describes the condition in
    // the error.
    Result<void> waitUntil(const std::function<bool()>& condition, Duration limit, std::string_view what);
    Result<void> runUntil(TimePoint);

private:
    void runBriefly();

    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    bool interrupted_ = false;
};

}
