#include "Configuration/ApplyOutcome.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto applyStatusNames = makeNameTable<ApplyStatus>({
        { ApplyStatus::Accepted, "accepted" },
        { ApplyStatus::Refused, "refused" },
        { ApplyStatus::Unavailable, "unavailable" },
        { ApplyStatus::Unknown, "unknown" },
    });

    constexpr auto refusalReasonNames = makeNameTable<ApplyRefusal>({
        { ApplyRefusal::None, "none" },
        { ApplyRefusal::WrongBase, "wrong_base" },
        { ApplyRefusal::LostRace, "lost_race" },
        { ApplyRefusal::BrokenRule, "broken_rule" },
        { ApplyRefusal::ReusedApplyId, "reused_apply_id" },
        { ApplyRefusal::UnreadableBase, "unreadable_base" },
        { ApplyRefusal::BadStore, "bad_store" },
    });

}

std::string_view nameOf(ApplyStatus status) { return applyStatusNames.name(status); }

std::string_view nameOf(ApplyRefusal reason) { return refusalReasonNames.name(reason); }

}
