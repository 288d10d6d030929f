#pragma once

#include "Configuration/ApplyOutcome.h"
#include "Ctl/CtlResult.h"

namespace wisteriadock {

// Builds the report of the "apply", "drain" and "undrain" commands.
CtlResult reportApply(const ApplyOutcome&);

}
