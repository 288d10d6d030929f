#pragma once

#include "Core/Error.h"
#include "Settings/SettingsProblem.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace wisteriadock {

// Exit codes; scripts rely on the numbers (docs/operators/ctl.md).
enum class CtlExit {
    Done = 0,
    Refused = 1, // The input is invalid or was refused, or a balancer runs another version; nothing was changed.
    Usage = 2, // The command line is invalid; nothing was attempted.
    Unavailable = 3, // The platform or a balancer could not be reached; nothing was changed.
    Unknown = 4, // The change may or may not have been made.
};

enum class OutputFormat {
    Text,
    Json,
};

// The result of a command: the exit code and the report in both formats.
struct CtlResult {
    CtlExit exit = CtlExit::Done;
    // Report lines without a trailing newline.
    std::string text;
    nlohmann::json json = nlohmann::json::object();

    std::string render(OutputFormat) const;
};

// Results of commands that failed.
CtlResult resultOf(const Error&);
CtlResult resultOf(const SettingsProblems&);

}
