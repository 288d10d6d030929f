#pragma once

#include "Configuration/Configuration.h"
#include "Core/Error.h"
#include "Settings/SettingsProblem.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// A configuration that passed every check, or all that is wrong with its file.
using ConfigurationResult
    = boost::outcome_v2::basic_result<Configuration, SettingsProblems, boost::outcome_v2::policy::terminate>;

// Reads text as the content of the named file and checks it whole (docs/operators/configuration-reference.md). A
// problem in one place does not hide those in others. Used by ctl on operators' files and by balancers on stored ones.
ConfigurationResult parseConfiguration(const std::string& file, std::string_view text);

}
