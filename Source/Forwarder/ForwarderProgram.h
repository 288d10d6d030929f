#pragma once

#include "Forwarder/Forwarder.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <string>

namespace wisteriadock {

// The exit codes of wisteriadock-forwarder.
enum class ForwarderExit {
    Done = 0,
    CannotStart = 1, // An address can't be bound.
    BadSettings = 2,
};

// Reads the settings, prints every problem in them, and runs the forwarder unless onlyCheck is set. Returns the exit
// code. Called by main().
template <typename Adapter> int runForwarder(const std::string& settingsPath, bool onlyCheck)
{
    const auto fail = [](ForwarderExit code, const std::string& message) {
        fmt::print(stderr, "wisteriadock-forwarder: {}\n", message);
        return static_cast<int>(code);
    };
    // Writing to a connection that the peer has closed shall fail instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    if (settingsPath.empty())
        return fail(ForwarderExit::BadSettings, "--settings FILE is missing");
    const auto settings = ForwarderSettings::load(settingsPath);
    if (!settings)
        return fail(ForwarderExit::BadSettings, settings.error().detail);
    if (onlyCheck)
        return static_cast<int>(ForwarderExit::Done);
    const auto forwarder = Forwarder<Adapter>::start(settings.value(), settingsPath);
    if (!forwarder)
        return fail(ForwarderExit::CannotStart, forwarder.error().detail);
    forwarder.value()->run();
    return static_cast<int>(ForwarderExit::Done);
}

}
