#include "Settings/SettingsProblem.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

std::string SettingsProblem::toString() const
{
    std::string text = file;
    if (line != 0)
        text += fmt::format(":{}", line);
    text += ":";
    if (!section.empty())
        text += fmt::format(" [{}]", section);
    if (!key.empty())
        text += fmt::format(" {} = {}", key, value);
    else if (!value.empty())
        text += fmt::format(" {}", value);
    if (text.back() != ':')
        text += ":";
    return text + " expected " + expected;
}

void SettingsProblems::add(SettingsProblem problem)
{
    if (isFull()) {
        ++omitted_;
        return;
    }
    kept_.push_back(std::move(problem));
}

void SettingsProblems::addAll(const SettingsProblems& others)
{
    for (const SettingsProblem& problem : others.kept_)
        add(problem);
    omitted_ += others.omitted_;
}

void SettingsProblems::sortByLine()
{
    std::stable_sort(
        kept_.begin(), kept_.end(), [](const SettingsProblem& a, const SettingsProblem& b) { return a.line < b.line; });
}

std::string SettingsProblems::toString() const
{
    std::string text;
    for (const SettingsProblem& problem : kept_) {
        if (!text.empty())
            text += "\n";
        text += problem.toString();
    }
    if (omitted_ != 0)
        text += fmt::format("\n{} more problems are not listed", omitted_);
    return text;
}

Error SettingsProblems::toError() const { return { ErrorCode::InvalidArgument, toString() }; }

}
