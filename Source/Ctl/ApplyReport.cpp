#include "Ctl/ApplyReport.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    CtlExit exitOf(ApplyStatus status)
    {
        switch (status) {
        case ApplyStatus::Accepted:
            return CtlExit::Done;
        case ApplyStatus::Refused:
            return CtlExit::Refused;
        case ApplyStatus::Unavailable:
            return CtlExit::Unavailable;
        case ApplyStatus::Unknown:
            return CtlExit::Unknown;
        }
        return CtlExit::Unknown;
    }

    std::string headline(const ApplyOutcome& outcome)
    {
        if (outcome.status == ApplyStatus::Refused)
            return fmt::format("refused ({})", nameOf(outcome.reason));
        if (outcome.status != ApplyStatus::Accepted)
            return std::string(nameOf(outcome.status));
        if (outcome.isUnchanged)
            return fmt::format("accepted: version {} has this content already", outcome.version);
        return fmt::format("accepted: version {} (apply id {})", outcome.version, outcome.applyId);
    }

}

CtlResult reportApply(const ApplyOutcome& outcome)
{
    CtlResult result { exitOf(outcome.status), headline(outcome),
        { { "status", nameOf(outcome.status) }, { "reason", nameOf(outcome.reason) }, { "apply_id", outcome.applyId },
            { "base_version", outcome.baseVersion }, { "unchanged", outcome.isUnchanged },
            { "details", outcome.details } } };
    for (const std::string& detail : outcome.details)
        result.text += "\n" + detail;
    if (outcome.status == ApplyStatus::Accepted)
        result.json["version"] = outcome.version;
    if (outcome.winner)
        result.json["winner"] = { { "version", outcome.winner->version }, { "apply_id", outcome.winner->applyId },
            { "author", outcome.winner->author } };
    return result;
}

}
