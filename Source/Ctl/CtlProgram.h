#pragma once

#include "Ctl/CtlOptions.h"

#include <string>
#include <vector>

namespace wisteriadock {

// Runs one command and prints its report to standard output; an invalid command line is reported on standard error.
// Returns the exit code of the process.
int runCtl(const std::vector<std::string>& words, const CtlFlags&);

}
