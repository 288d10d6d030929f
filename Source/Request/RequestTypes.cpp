#include "Request/RequestTypes.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto executedNames = makeNameTable<Executed>({
        { Executed::No, "no" },
        { Executed::Unknown, "unknown" },
    });

    constexpr auto reasonNames = makeNameTable<RefusalReason>({
        { RefusalReason::MissingKey, "missing_key" },
        { RefusalReason::MalformedKey, "malformed_key" },
        { RefusalReason::AbsurdDeadline, "absurd_deadline" },
        { RefusalReason::OversizedHeaders, "oversized_headers" },
        { RefusalReason::OversizedBody, "oversized_body" },
        { RefusalReason::KeyReused, "key_reused" },
        { RefusalReason::InProgress, "in_progress" },
        { RefusalReason::KeyTooOld, "key_too_old" },
        { RefusalReason::ClaimsLost, "claims_lost" },
        { RefusalReason::OutcomeUnknown, "outcome_unknown" },
        { RefusalReason::AnswerNotKept, "answer_not_kept" },
        { RefusalReason::DeadlinePassed, "deadline_passed" },
        { RefusalReason::Overloaded, "overloaded" },
        { RefusalReason::NoServer, "no_server" },
        { RefusalReason::TableFull, "table_full" },
        { RefusalReason::ComeBackLater, "come_back_later" },
        { RefusalReason::NotReady, "not_ready" },
        { RefusalReason::HomeUnreachable, "home_unreachable" },
        { RefusalReason::BackupUnreachable, "backup_unreachable" },
    });

}

std::string_view nameOf(Executed executed) { return executedNames.name(executed); }

std::string_view nameOf(RefusalReason reason) { return reasonNames.name(reason); }

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MissingKey:
    case RefusalReason::MalformedKey:
    case RefusalReason::AbsurdDeadline:
        return 400;
    case RefusalReason::KeyReused:
        return 422;
    case RefusalReason::OversizedHeaders:
        return 431;
    case RefusalReason::OversizedBody:
        return 413;
    case RefusalReason::InProgress:
    case RefusalReason::KeyTooOld:
    case RefusalReason::AnswerNotKept:
        return 409;
    case RefusalReason::Overloaded:
    case RefusalReason::ComeBackLater:
        return 429;
    case RefusalReason::OutcomeUnknown:
        return 502;
    case RefusalReason::DeadlinePassed:
        return 504;
    case RefusalReason::ClaimsLost:
    case RefusalReason::NoServer:
    case RefusalReason::TableFull:
    case RefusalReason::NotReady:
    case RefusalReason::HomeUnreachable:
    case RefusalReason::BackupUnreachable:
        break;
    }
    return 503;
}

}
