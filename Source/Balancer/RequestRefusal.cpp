#include "Balancer/RequestRefusal.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto titles = makeNameTable<RefusalReason>({
        { RefusalReason::MissingKey, "The method needs an Idempotency-Key" },
        { RefusalReason::MalformedKey, "The Idempotency-Key can't be read" },
        { RefusalReason::AbsurdDeadline, "The deadline is out of range" },
        { RefusalReason::OversizedHeaders, "The headers are too long" },
        { RefusalReason::OversizedBody, "The body is too long" },
        { RefusalReason::KeyReused, "The key came before with other content" },
        { RefusalReason::InProgress, "The work runs elsewhere at this moment" },
        { RefusalReason::KeyTooOld, "The key is older than claims are remembered" },
        { RefusalReason::ClaimsLost, "What is known of the key was lost" },
        { RefusalReason::OutcomeUnknown, "The work was sent and its answer was lost" },
        { RefusalReason::AnswerNotKept, "The work ran; its answer was not kept" },
        { RefusalReason::DeadlinePassed, "The deadline passed" },
        { RefusalReason::Overloaded, "The service has no free slot in time" },
        { RefusalReason::NoServer, "No backend server of the service takes new work" },
        { RefusalReason::TableFull, "There is no room for another key" },
        { RefusalReason::ComeBackLater, "The key was refused moments ago" },
        { RefusalReason::NotReady, "What is known of the key is on its way to a new owner" },
        { RefusalReason::HomeUnreachable, "The balancer that owns the key can't be reached" },
        { RefusalReason::BackupUnreachable, "The ownership of the key could not be confirmed" },
    });

    RequestOutcomeKind outcomeOf(const Refusal& refusal)
    {
        switch (refusal.reason) {
        case RefusalReason::MissingKey:
        case RefusalReason::MalformedKey:
        case RefusalReason::AbsurdDeadline:
        case RefusalReason::OversizedHeaders:
        case RefusalReason::OversizedBody:
        case RefusalReason::KeyReused:
            return RequestOutcomeKind::Invalid;
        default:
            break;
        }
        if (refusal.executed == Executed::Unknown)
            return RequestOutcomeKind::Unknown;
        const bool lacksServer
            = refusal.reason == RefusalReason::NoServer || refusal.reason == RefusalReason::Overloaded;
        return lacksServer ? RequestOutcomeKind::NoServer : RequestOutcomeKind::NotExecuted;
    }

}

RequestProblem problemOf(const Refusal& refusal, const std::string& detail)
{
    RequestProblem problem;
    problem.status = statusOf(refusal.reason);
    problem.title = detail.empty() ? std::string(titles.name(refusal.reason)) : detail;
    problem.executed = refusal.executed;
    if (refusal.retryAfter.count() > 0)
        problem.retryAfter = refusal.retryAfter;
    problem.outcome = outcomeOf(refusal);
    return problem;
}

}
