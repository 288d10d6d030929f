#pragma once

#include "Core/Error.h"
#include "Settings/SettingsProblem.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace wisteriadock {

// How the process ends; scripts rely on the numbers (docs/operators/ctl.md).
enum class CtlExit {
    Done = 0,
    Refused = 1, // The input is invalid or was refused, or a balancer runs another version; nothing was changed.
    Usage = 2, // The command line is wrong; nothing was tried.
    Unavailable = 3, // The platform or a balancer was not reached; nothing was changed.
    Unknown = 4, // The change may have been made or not.
};

enum class OutputFormat {
    Text,
    Json,
};

// What a command has to say, in both formats.
struct CtlResult {
    CtlExit exit = CtlExit::Done;
    // Lines for people, without the last line end.
    std::string text;
    nlohmann::json json = nlohmann::json::object();

    std::string render(OutputFormat) const;
};

CtlResult resultOf(const Error&);
CtlResult resultOf(const SettingsProblems&);

}
