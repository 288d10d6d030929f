#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string_view>

namespace wisteriadock {

// The one thread of an experiment. SIGTERM and SIGINT end every wait with Cancelled, so that the run unwinds and its
// child processes end with it.
class EventLoop {
public:
    EventLoop();

    boost::asio::io_context& context() { return context_; }

    // Runs until the condition holds. Fails with DeadlineExceeded, naming what was waited for.
    Result<void> waitUntil(const std::function<bool()>& condition, Duration limit, std::string_view what);
    Result<void> runUntil(TimePoint);

private:
    void runBriefly();

    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    bool interrupted_ = false;
};

}
