#pragma once

#include <optional>
#include <string>

namespace wisteriadock {

// Returns a message for the first unknown flag or bad flag value, if any. main() calls this before Abseil parses the
// flags, because Abseil would exit with 1, which scripts read as a refused configuration, and not with CtlExit::Usage.
std::optional<std::string> findBadFlag(int argc, const char* const* argv);

}
