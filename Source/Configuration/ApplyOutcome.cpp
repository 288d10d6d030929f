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

    constexpr auto refusalReasonNames = makeNameTable<RefusalReason>({
        { RefusalReason::None, "none" },
        { RefusalReason::WrongBase, "wrong_base" },
        { RefusalReason::LostRace, "lost_race" },
        { RefusalReason::BrokenRule, "broken_rule" },
        { RefusalReason::ReusedApplyId, "reused_apply_id" },
        { RefusalReason::UnreadableBase, "unreadable_base" },
        { RefusalReason::BadStore, "bad_store" },
    });

}

std::string_view nameOf(ApplyStatus status) { return applyStatusNames.name(status); }

std::string_view nameOf(RefusalReason reason) { return refusalReasonNames.name(reason); }

}
