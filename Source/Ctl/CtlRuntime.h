#pragma once

#include "Core/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <concepts>
#include <functional>
#include <memory>
#include <utility>

namespace wisteriadock {

// Clock and timers of ctl's commands: AsioRuntime in the program, ManualRuntime in tests.
template <typename T>
concept CtlRuntime = requires(T& runtime, Duration delay, std::function<void()> callback)
{
    {
        runtime.now()
        } -> std::same_as<TimePoint>;
    // Runs the callback once after the delay, never before this call returns.
    runtime.runAfter(delay, callback);
};

class AsioRuntime {
public:
    explicit AsioRuntime(boost::asio::io_context& context)
        : context_(context)
    {
    }

    TimePoint now() const { return Clock::now(); }

    void runAfter(Duration delay, std::function<void()> callback)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
        timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& error) {
            if (!error)
                callback();
        });
    }

private:
    boost::asio::io_context& context_;
};

static_assert(CtlRuntime<AsioRuntime>);

}
