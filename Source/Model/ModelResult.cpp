#include "Model/ModelResult.h"

#include "Core/NameTable.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace wisteriadock {

namespace {

    constexpr auto outcomeNames = makeNameTable<ModelOutcome>({
        { ModelOutcome::InTime, "in_time" },
        { ModelOutcome::Late, "late" },
        { ModelOutcome::Refused, "refused" },
        { ModelOutcome::Failed, "failed" },
    });
    static_assert(outcomeNames.rows().size() == modelOutcomeCount);

    template <typename Value> MedianAndRange medianAndRangeBy(const PolicyResults& row, const Value& value)
    {
        std::vector<double> values;
        for (const ModelResult& result : row.results)
            values.push_back(value(result));
        return medianAndRangeOf(std::move(values));
    }

    double shareOf(const ModelResult& result, ModelOutcome outcome)
    {
        const auto count = result.all.outcomes[static_cast<std::size_t>(outcome)];
        return static_cast<double>(count) / static_cast<double>(std::max<std::uint64_t>(1, result.all.total()));
    }

}

std::string_view nameOf(ModelOutcome outcome) { return outcomeNames.name(outcome); }

void ModelCounts::add(ModelOutcome outcome, double worth, double earned)
{
    ++outcomes[static_cast<std::size_t>(outcome)];
    maxWorth += worth;
    earnedWorth += earned;
}

std::uint64_t ModelCounts::total() const
{
    return std::accumulate(std::begin(outcomes), std::end(outcomes), std::uint64_t(0));
}

double ModelResult::worstWindowsMean() const
{
    std::vector<double> served;
    for (const ModelCounts& window : windows)
        served.push_back(window.servedShare());
    std::ranges::sort(served);
    const std::size_t count = std::min<std::size_t>(2, served.size());
    return count == 0 ? 1 : std::accumulate(served.begin(), served.begin() + count, 0.0) / static_cast<double>(count);
}

MedianAndRange medianAndRangeOf(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::ranges::sort(values);
    return { values[values.size() / 2], values.front(), values.back() };
}

std::string textOf(const std::vector<PolicyResults>& rows)
{
    std::string text = fmt::format("{:<18}{:>24}{:>24}{:>9}{:>9}{:>9}{:>9}\n", "policy", "served (least, most)",
        "worst windows", "late", "refused", "failed", "busiest");
    for (const PolicyResults& row : rows) {
        const MedianAndRange served
            = medianAndRangeBy(row, [](const ModelResult& result) { return result.all.servedShare(); });
        const MedianAndRange worst
            = medianAndRangeBy(row, [](const ModelResult& result) { return result.worstWindowsMean(); });
        const auto share = [&](ModelOutcome outcome) {
            return medianAndRangeBy(row, [&](const ModelResult& result) { return shareOf(result, outcome); }).median;
        };
        const auto busiest = medianAndRangeBy(row, [](const ModelResult& result) { return result.busiestOverMean; });
        text
            += fmt::format("{:<18}  {:.4f} ({:.4f}, {:.4f})  {:.4f} ({:.4f}, {:.4f}){:>9.4f}{:>9.4f}{:>9.4f}{:>9.2f}\n",
                row.policy, served.median, served.min, served.max, worst.median, worst.min, worst.max,
                share(ModelOutcome::Late), share(ModelOutcome::Refused), share(ModelOutcome::Failed), busiest.median);
    }
    return text;
}

std::string jsonOf(const std::vector<PolicyResults>& rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const PolicyResults& row : rows) {
        nlohmann::json runs = nlohmann::json::array();
        for (const ModelResult& result : row.results) {
            nlohmann::json windows = nlohmann::json::array();
            for (const ModelCounts& window : result.windows)
                windows.push_back(window.servedShare());
            nlohmann::json run { { "served", result.all.servedShare() }, { "worst_windows", result.worstWindowsMean() },
                { "windows", std::move(windows) }, { "busiest_over_mean", result.busiestOverMean },
                { "resets", result.resets } };
            for (const auto& [outcome, name] : outcomeNames.rows())
                run[std::string(name)] = result.all.outcomes[static_cast<std::size_t>(outcome)];
            runs.push_back(std::move(run));
        }
        list.push_back({ { "policy", row.policy }, { "runs", std::move(runs) } });
    }
    return list.dump(2) + "\n";
}

std::string timeSeriesCsvOf(const std::vector<PolicyResults>& rows)
{
    std::string text = "seconds";
    std::size_t steps = 0;
    for (const PolicyResults& row : rows) {
        text += fmt::format(",{0}_served,{0}_load", row.policy);
        for (const ModelResult& result : row.results)
            steps = std::max(steps, result.steps.size());
    }
    text += "\n";
    for (std::size_t step = 0; step < steps; ++step) {
        text += fmt::format("{:.1f}", std::chrono::duration<double>(ModelResult::stepLength * step).count());
        for (const PolicyResults& row : rows) {
            double served = 0;
            double load = 0;
            for (const ModelResult& result : row.results) {
                served += step < result.steps.size() ? result.steps[step].servedShare() : 1;
                load += step < result.serverLoad.size() ? result.serverLoad[step] : 0;
            }
            const auto runs = static_cast<double>(std::max<std::size_t>(1, row.results.size()));
            text += fmt::format(",{:.4f},{:.1f}", served / runs, load / runs);
        }
        text += "\n";
    }
    return text;
}

}
