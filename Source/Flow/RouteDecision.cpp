#include "Flow/RouteDecision.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto dropReasonNames = makeNameTable<DropReason>({
        { DropReason::None, "none" },
        { DropReason::UnknownAddress, "unknown_address" },
        { DropReason::NoBackendServer, "no_backend_server" },
        { DropReason::NoArbiter, "no_arbiter" },
        { DropReason::TooManyHops, "too_many_hops" },
        { DropReason::AwaitingContact, "awaiting_contact" },
    });

}

std::string_view nameOf(DropReason reason) { return dropReasonNames.name(reason); }

}
