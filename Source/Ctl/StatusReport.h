#pragma once

#include "Configuration/ContentReader.h"
#include "Core/Error.h"
#include "Ctl/BalancerStatus.h"
#include "Ctl/CtlResult.h"

#include <cstdint>
#include <vector>

namespace wisteriadock {

// The highest version in force on any reached balancer; 0 if there is none.
std::uint64_t highestVersionInForce(const std::vector<StatusProbe>&);

// Builds the report of the "status" command: the version of each balancer by availability zone, the newest version on
// the platform (NotFound: none yet), and what could not be reached. The exit code is Done only if everything was
// reached and every balancer runs the newest version.
CtlResult reportStatus(const Result<std::uint64_t>& newestVersion, const std::vector<StatusProbe>&);

}
