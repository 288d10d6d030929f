#pragma once

#include "Core/Error.h"

#include <string_view>

namespace wisteriadock {

// The levels of log lines, named in settings and flags.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view nameOf(LogLevel);
Result<LogLevel> parseLogLevel(std::string_view);

}
