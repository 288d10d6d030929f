#pragma once

#include "Configuration/ChangeRules.h"
#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Ctl/CtlResult.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

enum class CtlCommand {
    Apply,
    Check,
    Diff,
    Drain,
    Get,
    Status,
    Undrain,
};

std::string_view nameOf(CtlCommand);

// Flag values before validation.
struct CtlFlags {
    std::string platform;
    std::string balancers;
    std::string format = "text";
    std::string applyId;
    std::string author;
    // Negative if not given.
    std::int64_t baseVersion = -1;
    std::uint64_t aboveVersion = 0;
    bool allowIdleService = false;
    bool allowMovedAddress = false;
    bool allowUnreadableBase = false;
    double deadlineSeconds = 15;
};

// A validated command line.
struct CtlOptions {
    CtlCommand command = CtlCommand::Check;
    // The configuration file, or the name of the backend server; empty for "get" and "status".
    std::string argument;
    std::optional<Endpoint> platform;
    std::vector<Endpoint> balancers;
    OutputFormat format = OutputFormat::Text;
    std::string applyId;
    std::string author;
    std::optional<std::uint64_t> baseVersion;
    std::uint64_t aboveVersion = 0;
    ChangeFlags allowed;
    bool allowUnreadableBase = false;
    // Time limit of the whole command.
    Duration timeLimit {};
};

// Validates the positional arguments and the flags. Fails with InvalidArgument and a message that says what was
// expected. The apply id stays empty if it was not given.
Result<CtlOptions> parseCtlOptions(const std::vector<std::string>& words, const CtlFlags&);

}
