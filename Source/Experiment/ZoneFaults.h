#pragma once

#include "Experiment/Deployment.h"

#include <cstddef>

namespace wisteriadock {

// Sets faults between the balancers of an availability zone and all other balancers, and between them and the platform.
// Default settings end the faults. The fabric and the backend servers stay reachable, so that callers keep sending to
// both sides.
Result<void> setZoneFaults(Deployment&, std::size_t zone, const FaultSettings&);

}
