#pragma once

#include "Experiment/Deployment.h"

#include <cstddef>

namespace wisteriadock {

// Puts these faults between the balancers of an availability zone and those of the others, and between them and the
// platform; none ends them. The fabric and the backend servers stay in reach, so that callers go on sending to both
// sides.
Result<void> setZoneFaults(Deployment&, std::size_t zone, const FaultSettings&);

}
