#include "Experiment/ResultRows.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

void ResultRows::set(std::string_view name, std::uint64_t value) { set(name, std::to_string(value)); }

void ResultRows::set(std::string_view name, double value) { set(name, fmt::format("{:.6g}", value)); }

void ResultRows::set(std::string_view name, std::string value)
{
    const auto found = std::find_if(rows_.begin(), rows_.end(), [name](const auto& row) { return row.first == name; });
    if (found != rows_.end())
        found->second = std::move(value);
    else
        rows_.emplace_back(name, std::move(value));
}

std::string_view ResultRows::value(std::string_view name) const
{
    for (const auto& [rowName, rowValue] : rows_) {
        if (rowName == name)
            return rowValue;
    }
    return {};
}

std::string ResultRows::toString() const
{
    std::string text;
    for (const auto& [name, value] : rows_)
        text += fmt::format("{} {}\n", name, value);
    return text;
}

}
