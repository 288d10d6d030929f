#pragma once

#include "Configuration/Configuration.h"
#include "Core/Error.h"
#include "Settings/SettingsProblem.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// A configuration that passed all checks, or the problems of its file.
using ConfigurationResult
    = boost::outcome_v2::basic_result<Configuration, SettingsProblems, boost::outcome_v2::policy::terminate>;

// Parses and checks the text of a configuration file (docs/operators/configuration-reference.md). `file` is the name
// used in problems. All problems of a file are reported at once. Called by ctl for operators' files and by balancers
// for stored content.
ConfigurationResult parseConfiguration(const std::string& file, std::string_view text);

}
