#pragma once

#include "Configuration/ContentReader.h"
#include "Core/Error.h"
#include "Ctl/BalancerStatus.h"
#include "Ctl/CtlResult.h"

#include <cstdint>
#include <vector>

namespace wisteriadock {

// The highest version that a reached balancer has in force; 0 if there is none.
std::uint64_t highestVersionInForce(const std::vector<StatusProbe>&);

// The "status" command's report: which balancers run which version, by availability zone, against the newest version on
// the platform (NotFound: none yet), and what was not reached. Ends with Done only if everything was reached and every
// balancer runs the newest version.
CtlResult reportStatus(const Result<std::uint64_t>& newestVersion, const std::vector<StatusProbe>&);

}
