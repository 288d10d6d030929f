#pragma once

#include "Configuration/ApplyOutcome.h"
#include "Ctl/CtlResult.h"

namespace wisteriadock {

// The report on one apply, for "apply", "drain" and "undrain".
CtlResult reportApply(const ApplyOutcome&);

}
