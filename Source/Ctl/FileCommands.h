#pragma once

#include "Configuration/ConfigurationParser.h"
#include "Configuration/ContentReader.h"
#include "Core/Error.h"
#include "Ctl/CtlResult.h"

#include <boost/outcome/basic_result.hpp>

#include <string>

namespace wisteriadock {

// A configuration loaded from a file, or the report of the errors in it.
using LoadedConfiguration
    = boost::outcome_v2::basic_result<Configuration, CtlResult, boost::outcome_v2::policy::terminate>;

// Reads and validates the file; "-" reads standard input.
LoadedConfiguration loadConfiguration(const std::string& path);

// The "check" command: reports all errors in the file without contacting the platform.
CtlResult checkFile(const std::string& path);

// Builds the report of the "diff" command. `version` is the number of `before`; 0 means that no version exists yet.
CtlResult reportDiff(std::uint64_t version, const Configuration& before, const Configuration& after);

// Builds the report of the "get" command. Its text is a valid configuration file that can be applied again.
CtlResult reportVersion(const ConfigurationVersion&);

}
