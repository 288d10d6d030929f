#include "Experiment/ExperimentOptions.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    constexpr auto faultModeNames = makeNameTable<FaultMode>({
        { FaultMode::None, "none" },
        { FaultMode::Planned, "planned" },
        { FaultMode::All, "all" },
    });

}

std::string_view nameOf(FaultMode mode) { return faultModeNames.name(mode); }

Result<FaultMode> parseFaultMode(std::string_view text)
{
    if (const auto mode = faultModeNames.value(text))
        return *mode;
    return Error { ErrorCode::InvalidArgument, fmt::format("'{}' is not one of none, planned, all", text) };
}

}
