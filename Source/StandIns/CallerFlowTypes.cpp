#include "StandIns/CallerFlowTypes.h"

#include "Core/NameTable.h"
#include "StandIns/FlagText.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    constexpr auto breakKindNames = makeNameTable<FlowBreakKind>({
        { FlowBreakKind::UnknownFlow, "unknown_flow" },
        { FlowBreakKind::ChangedServer, "changed_server" },
        { FlowBreakKind::WrongService, "wrong_service" },
        { FlowBreakKind::Stalled, "stalled" },
    });

}

std::string_view nameOf(FlowBreakKind kind) { return breakKindNames.name(kind); }

Result<CallerService> CallerService::parse(std::string_view text)
{
    const auto fields = splitText(text, '@');
    if (fields.size() != 3 || fields[0].empty())
        return Error { ErrorCode::InvalidArgument,
            fmt::format("'{}' is not a service; expected NAME@ADDRESS@SHARE such as tryon@192.0.2.1:443@0.8", text) };
    BOOST_OUTCOME_TRY(address, Endpoint::parse(fields[1]));
    BOOST_OUTCOME_TRY(share, parseNumber(fields[2]));
    if (share <= 0)
        return Error { ErrorCode::InvalidArgument, fmt::format("share '{}'; expected a number above 0", fields[2]) };
    return CallerService { std::string(fields[0]), serviceIdOf(fields[0]), address, share };
}

}
