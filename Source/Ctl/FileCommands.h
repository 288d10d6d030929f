#pragma once

#include "Configuration/ConfigurationParser.h"
#include "Configuration/ContentReader.h"
#include "Core/Error.h"
#include "Ctl/CtlResult.h"

#include <boost/outcome/basic_result.hpp>

#include <string>

namespace wisteriadock {

// A configuration from an operator's file, or the report on why there is none.
using LoadedConfiguration
    = boost::outcome_v2::basic_result<Configuration, CtlResult, boost::outcome_v2::policy::terminate>;

// Reads and checks the file; "-" stands for standard input.
LoadedConfiguration loadConfiguration(const std::string& path);

// The "check" command: everything that is wrong with the file, without asking the platform.
CtlResult checkFile(const std::string& path);

// The "diff" command's report on what the file would change. A version of 0 stands for "none yet".
CtlResult reportDiff(std::uint64_t version, const Configuration& before, const Configuration& after);

// The "get" command's report. Its text is a file that can be applied again.
CtlResult reportVersion(const ConfigurationVersion&);

}
