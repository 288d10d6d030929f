#include "Membership/FailureDetector.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // A suspicion that others raised and nobody settled is looked into after so many times its usual length.
    constexpr int forgottenAfter = 3;

}

FailureDetector::FailureDetector(const MembershipSettings& settings, MemberTable& table)
    : settings_(settings)
    , table_(table)
{
}

void FailureDetector::probed(MemberRecord& record, TimePoint now)
{
    // The dead are only tried; their silence is no news.
    if (record.awaitingSince || !record.isAlive())
        return;
    record.awaitingSince = now;
    record.askedOthers = false;
    table_.watched().insert(record.member.id);
}

void FailureDetector::answered(MemberRecord& record, TimePoint nonceSentAt)
{
    record.lastProof = std::max(record.lastProof, nonceSentAt);
    if (record.awaitingSince && nonceSentAt >= *record.awaitingSince)
        record.awaitingSince.reset();
    if (record.suspected && nonceSentAt >= record.changedAt)
        table_.clearSuspicion(record);
    if (!record.suspected && !record.awaitingSince)
        table_.watched().erase(record.member.id);
}

std::vector<ProbeFinding> FailureDetector::tick(TimePoint now)
{
    std::vector<ProbeFinding> findings;
    const std::vector<BalancerId> watched(table_.watched().begin(), table_.watched().end());
    for (const BalancerId id : watched) {
        MemberRecord& record = *table_.find(id);
        checkSuspicion(record, now, findings);
        checkAnswer(record, now, findings);
    }
    return findings;
}

void FailureDetector::checkAnswer(MemberRecord& record, TimePoint now, std::vector<ProbeFinding>& findings)
{
    if (!record.awaitingSince)
        return;
    const Duration silence = now - *record.awaitingSince;
    if (silence >= settings_.failAfter) {
        record.awaitingSince.reset();
        if (!record.suspectedHere)
            table_.suspect(record, now);
        findings.push_back({ record.member.id, ProbeVerdict::Suspected });
    } else if (silence >= settings_.indirectAfter && !record.askedOthers) {
        record.askedOthers = true;
        findings.push_back({ record.member.id, ProbeVerdict::ProbeIndirectly });
    }
}

void FailureDetector::checkSuspicion(MemberRecord& record, TimePoint now, std::vector<ProbeFinding>& findings)
{
    if (!record.suspected)
        return;
    const Duration age = now - record.changedAt;
    if (record.suspectedHere) {
        if (age >= table_.suspicionTime()) {
            table_.declareDead(record, now);
            findings.push_back({ record.member.id, ProbeVerdict::Died });
        }
        return;
    }
    if (!record.awaitingSince && (record.disputed || age >= forgottenAfter * table_.suspicionTime()))
        findings.push_back({ record.member.id, ProbeVerdict::Verify });
}

void FailureDetector::reset(TimePoint now)
{
    const std::vector<BalancerId> watched(table_.watched().begin(), table_.watched().end());
    for (const BalancerId id : watched) {
        MemberRecord& record = *table_.find(id);
        record.awaitingSince.reset();
        if (!record.suspected)
            table_.watched().erase(id);
    }
    table_.restartSuspicions(now);
}

}
