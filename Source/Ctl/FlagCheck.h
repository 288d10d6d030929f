#pragma once

#include <optional>
#include <string>

namespace wisteriadock {

// What is wrong with the flags of a command line, if anything. Abseil ends the process with 1 for an unknown flag or a
// bad value, which scripts would take for a refused configuration; so main asks this first and ends with 2.
std::optional<std::string> findBadFlag(int argc, const char* const* argv);

}
