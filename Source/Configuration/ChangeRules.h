#pragma once

#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationDiff.h"

#include <string>
#include <vector>

namespace wisteriadock {

// Changes that are usually mistakes and are refused unless the operator allows them.
struct ChangeFlags {
    // A service may be left without an active backend server; it then takes no new flows or requests.
    bool allowIdleService = false;
    // An address may move from one service to another. Packets in flight then reach the other service.
    bool allowMovedAddress = false;
};

// Checks the change from one version to the next. Returns a message for each violated rule, which names the entry and
// the flag that allows the change; empty if the change is allowed. The first version is checked against an empty
// configuration. Called by ApplyOperation and by ctl.
std::vector<std::string> checkChange(const Configuration& before, const Configuration& after, ChangeFlags);

}
