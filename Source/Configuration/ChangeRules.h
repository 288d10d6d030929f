#pragma once

#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationDiff.h"

#include <string>
#include <vector>

namespace wisteriadock {

// What an operator allows explicitly, since it is more often a mistake than a wish.
struct ChangeFlags {
    // Lets a service end up without an active backend server: it then takes no new work.
    bool allowIdleService = false;
    // Lets an address go from one service to another: packets still on their way reach the other service.
    bool allowMovedAddress = false;
};

// Why a change from one version to the next is refused: one sentence a rule broken, each naming the entry and the flag
// that would allow it. Empty when the change is fine. The first version is checked against an empty configuration.
std::vector<std::string> checkChange(const Configuration& before, const Configuration& after, ChangeFlags);

}
