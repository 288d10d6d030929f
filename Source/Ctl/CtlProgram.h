#pragma once

#include "Ctl/CtlOptions.h"

#include <string>
#include <vector>

namespace wisteriadock {

// Runs one command and prints its report: to standard output, or to standard error when the command line is wrong.
// Returns the process's exit code.
int runCtl(const std::vector<std::string>& words, const CtlFlags&);

}
