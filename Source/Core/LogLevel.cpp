#include "Core/LogLevel.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    constexpr auto logLevelNames = makeNameTable<LogLevel>({
        { LogLevel::Debug, "debug" },
        { LogLevel::Info, "info" },
        { LogLevel::Warning, "warning" },
        { LogLevel::Error, "error" },
    });

}

std::string_view nameOf(LogLevel level) { return logLevelNames.name(level); }

Result<LogLevel> parseLogLevel(std::string_view text)
{
    if (const auto level = logLevelNames.value(text))
        return *level;
    return Error { ErrorCode::InvalidArgument,
        fmt::format("'{}' is not a log level; expected debug, info, warning or error", text) };
}

}
