#include "Membership/FailureDetector.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // A suspicion that others raised and that was neither refuted nor confirmed is verified after this multiple of the
    // suspicion timeout.
    constexpr int staleSuspicionFactor = 3;

}

FailureDetector::FailureDetector(const MembershipSettings& settings, MemberTable& table)
    : settings_(settings)
    , table_(table)
{
}

void FailureDetector::probeSent(MemberRecord& record, TimePoint now)
{
    // Dead members are contacted without expecting an answer.
    if (record.unansweredSince || !record.isAlive())
        return;
    record.unansweredSince = now;
    record.indirectProbesSent = false;
    table_.unconfirmed().insert(record.member.id);
}

void FailureDetector::answerReceived(MemberRecord& record, TimePoint nonceSentAt)
{
    record.lastContact = std::max(record.lastContact, nonceSentAt);
    if (record.unansweredSince && nonceSentAt >= *record.unansweredSince)
        record.unansweredSince.reset();
    if (record.suspected && nonceSentAt >= record.changedAt)
        table_.clearSuspicion(record);
    if (!record.suspected && !record.unansweredSince)
        table_.unconfirmed().erase(record.member.id);
}

std::vector<DetectorEvent> FailureDetector::tick(TimePoint now)
{
    std::vector<DetectorEvent> events;
    const std::vector<BalancerId> unconfirmed(table_.unconfirmed().begin(), table_.unconfirmed().end());
    for (const BalancerId id : unconfirmed) {
        MemberRecord& record = *table_.find(id);
        checkSuspicion(record, now, events);
        checkAnswer(record, now, events);
    }
    return events;
}

void FailureDetector::checkAnswer(MemberRecord& record, TimePoint now, std::vector<DetectorEvent>& events)
{
    if (!record.unansweredSince)
        return;
    const Duration unansweredFor = now - *record.unansweredSince;
    if (unansweredFor >= settings_.suspectAfter) {
        record.unansweredSince.reset();
        if (!record.suspectedLocally)
            table_.suspect(record, now);
        events.push_back({ record.member.id, DetectorEventKind::Suspected });
    } else if (unansweredFor >= settings_.indirectProbeAfter && !record.indirectProbesSent) {
        record.indirectProbesSent = true;
        events.push_back({ record.member.id, DetectorEventKind::IndirectProbeDue });
    }
}

void FailureDetector::checkSuspicion(MemberRecord& record, TimePoint now, std::vector<DetectorEvent>& events)
{
    if (!record.suspected)
        return;
    const Duration age = now - record.changedAt;
    if (record.suspectedLocally) {
        if (age >= table_.suspicionTimeout()) {
            table_.declareDead(record, now);
            events.push_back({ record.member.id, DetectorEventKind::DeclaredDead });
        }
        return;
    }
    if (!record.unansweredSince && (record.disputed || age >= staleSuspicionFactor * table_.suspicionTimeout()))
        events.push_back({ record.member.id, DetectorEventKind::VerificationDue });
}

void FailureDetector::reset(TimePoint now)
{
    const std::vector<BalancerId> unconfirmed(table_.unconfirmed().begin(), table_.unconfirmed().end());
    for (const BalancerId id : unconfirmed) {
        MemberRecord& record = *table_.find(id);
        record.unansweredSince.reset();
        if (!record.suspected)
            table_.unconfirmed().erase(id);
    }
    table_.restartSuspicionTimeouts(now);
}

}
