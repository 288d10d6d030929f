#include "Flow/ReportCollection.h"

namespace wisteriadock {

void ReportCollection::sendRequests(const FlowMessage& request, const ChangeContext& context)
{
    context.forEachOther([&](const Member& member) {
        MemberReport& report = reports_[member.id];
        if (report.requestedAt && context.now - *report.requestedAt < context.settings.retryInterval)
            return;
        report.requestedAt = context.now;
        if (!report.waitingSince)
            report.waitingSince = context.now;
        FlowMessage message = request;
        if (report.parts.isComplete())
            message.kind = static_cast<std::uint8_t>(FlowMessageKind::Hold);
        context.send(member.id, std::move(message));
    });
}

bool ReportCollection::accept(BalancerId from, const FlowMessage& message)
{
    MemberReport& report = reports_[from];
    report.settledGeneration = message.settledGeneration;
    return report.parts.accept(message);
}

bool ReportCollection::isComplete(const ChangeContext& context) const
{
    bool complete = true;
    context.forEachOther([&](const Member& member) {
        const auto report = reports_.find(member.id);
        complete = complete && report != reports_.end() && report->second.parts.isComplete();
    });
    return complete;
}

bool ReportCollection::hasTimedOut(const ChangeContext& context) const
{
    bool allTimedOut = true;
    context.forEachOther([&](const Member& member) {
        const auto report = reports_.find(member.id);
        const bool isMissing = report == reports_.end() || !report->second.parts.isComplete();
        const bool timedOut = report != reports_.end() && report->second.waitingSince
            && context.now - *report->second.waitingSince >= context.settings.reportTimeout;
        allTimedOut = allTimedOut && (!isMissing || timedOut);
    });
    return allTimedOut;
}

std::optional<std::uint64_t> ReportCollection::settledGenerationOf(BalancerId id) const
{
    const auto report = reports_.find(id);
    if (report == reports_.end() || !report->second.parts.isComplete())
        return std::nullopt;
    return report->second.settledGeneration;
}

}
