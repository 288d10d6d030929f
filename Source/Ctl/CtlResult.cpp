#include "Ctl/CtlResult.h"

namespace wisteriadock {

namespace {

    CtlExit exitOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::InvalidArgument:
        case ErrorCode::NotFound:
        case ErrorCode::Conflict:
        case ErrorCode::ResourceExhausted:
            return CtlExit::Refused;
        case ErrorCode::Unavailable:
        case ErrorCode::DeadlineExceeded:
        case ErrorCode::Cancelled:
            return CtlExit::Unavailable;
        case ErrorCode::Unknown:
            return CtlExit::Unknown;
        }
        return CtlExit::Unknown;
    }

}

std::string CtlResult::render(OutputFormat format) const
{
    if (format == OutputFormat::Text)
        return text;
    return json.dump(2, ' ', true, nlohmann::json::error_handler_t::replace);
}

CtlResult resultOf(const Error& error)
{
    return { exitOf(error.code), error.toString(),
        { { "status", "failed" }, { "error", nameOf(error.code) }, { "details", { error.detail } } } };
}

CtlResult resultOf(const SettingsProblems& problems)
{
    nlohmann::json list = nlohmann::json::array();
    for (const SettingsProblem& problem : problems.kept()) {
        list.push_back({ { "file", problem.file }, { "line", problem.line }, { "section", problem.section },
            { "key", problem.key }, { "value", problem.value }, { "expected", problem.expected } });
    }
    return { CtlExit::Refused, problems.toString(),
        { { "status", "invalid" }, { "problems", std::move(list) }, { "problems_omitted", problems.omitted() } } };
}

}
