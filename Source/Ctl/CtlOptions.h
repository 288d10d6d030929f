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

// The flags as the command line gives them.
struct CtlFlags {
    std::string platform;
    std::string balancers;
    std::string format = "text";
    std::string applyId;
    std::string author;
    // Below 0 for "not given".
    std::int64_t baseVersion = -1;
    std::uint64_t aboveVersion = 0;
    bool allowIdleService = false;
    bool allowMovedAddress = false;
    bool allowUnreadableBase = false;
    double deadlineSeconds = 15;
};

// A command line that was understood and is complete.
struct CtlOptions {
    CtlCommand command = CtlCommand::Check;
    // The file or the backend server.
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
    Duration timeLimit {};
};

// Reads the words after the program's name and the flags. Fails with InvalidArgument, which says what was expected. An
// apply id that is not given is left empty.
Result<CtlOptions> parseCtlOptions(const std::vector<std::string>& words, const CtlFlags&);

}
