#include "FlowStory/FlowStory.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace wisteriadock {

namespace {

    // Keys that describe() prints first or omits.
    constexpr std::array<std::string_view, 8> leadingKeys { "steady_ms", "time_of_day_s", "level", "part", "event",
        "vm", "availability_zone", "incarnation" };

    bool matchesQuery(const LogLine& line, const FlowStoryQuery& query, const std::set<std::string>& flows)
    {
        const std::string flow = line.text("flow");
        if (flow.empty())
            return false;
        const bool flowMatches = query.flow.empty() || flow == query.flow || flow.starts_with(query.flow + ">");
        const bool serverMatches = query.server.empty() || line.text("server") == query.server;
        const bool requestMatches = query.request.empty() || flows.contains(flow);
        return flowMatches && serverMatches && requestMatches;
    }

    bool isContextLine(const LogLine& line, const std::set<std::string>& servers, const std::set<std::string>& vms)
    {
        const std::string part = line.text("part");
        const bool namesServer = part == "server" && !line.text("server").empty();
        if (namesServer)
            return servers.contains(line.text("server"));
        static constexpr std::array<std::string_view, 7> vmParts { "configuration", "store", "process", "settings",
            "news", "replica", "server" };
        return std::ranges::find(vmParts, part) != vmParts.end() && vms.contains(line.text("vm"));
    }

}

std::string LogLine::text(std::string_view key) const
{
    const auto field = fields.find(std::string(key));
    return field != fields.end() && field->is_string() ? field->get<std::string>() : std::string();
}

std::vector<LogLine> readLogLines(std::istream& input, std::size_t& unreadable)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(input, text);) {
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        LogLine line { 0, nlohmann::ordered_json::parse(text.substr(begin), nullptr, false) };
        const bool hasTime = line.fields.is_object() && line.fields.contains("time_of_day_s")
            && line.fields["time_of_day_s"].is_number();
        // Lines of the log about itself carry the count of dropped lines and may lack a time.
        const bool isLogSummary = line.fields.is_object() && line.text("part") == "log";
        if (!isLogSummary && (!hasTime || !line.fields.contains("part"))) {
            ++unreadable;
            continue;
        }
        if (hasTime)
            line.timeOfDay = line.fields["time_of_day_s"].get<double>();
        lines.push_back(std::move(line));
    }
    return lines;
}

std::size_t countUnwrittenLines(const std::vector<LogLine>& lines)
{
    std::size_t count = 0;
    for (const LogLine& line : lines) {
        const auto found = line.fields.find("count");
        if (line.text("part") == "log" && found != line.fields.end() && found->is_number_unsigned())
            count += found->get<std::size_t>();
    }
    return count;
}

Result<std::vector<LogLine>> selectFlowLines(std::vector<LogLine> lines, const FlowStoryQuery& query)
{
    if (query.request.empty() && query.flow.empty() && query.server.empty())
        return Error { ErrorCode::InvalidArgument, "name a request, a flow or a server" };
    std::ranges::stable_sort(lines, {}, &LogLine::timeOfDay);
    std::set<std::string> flows;
    for (const LogLine& line : lines) {
        if (!query.request.empty() && line.text("request") == query.request)
            flows.insert(line.text("flow"));
    }
    std::set<std::string> servers;
    std::set<std::string> vms;
    const LogLine* first = nullptr;
    const LogLine* last = nullptr;
    for (const LogLine& line : lines) {
        if (!matchesQuery(line, query, flows))
            continue;
        first = first ? first : &line;
        last = &line;
        servers.insert(line.text("server"));
        vms.insert(line.text("vm"));
    }
    if (!first)
        return Error { ErrorCode::NotFound, fmt::format("none of {} lines fits", lines.size()) };
    const double contextTime = std::chrono::duration<double>(query.contextTime).count();
    const double from = first->timeOfDay - contextTime;
    const double to = last->timeOfDay + contextTime;
    std::vector<LogLine> selected;
    for (const LogLine& line : lines) {
        const bool isNear = line.timeOfDay >= from && line.timeOfDay <= to;
        if (matchesQuery(line, query, flows) || (isNear && isContextLine(line, servers, vms)))
            selected.push_back(line);
    }
    return selected;
}

std::string describe(const LogLine& line, double firstTime)
{
    std::string text = fmt::format(
        "{:10.6f} {:<16} {}.{}", line.timeOfDay - firstTime, line.text("vm"), line.text("part"), line.text("event"));
    for (const auto& [key, value] : line.fields.items()) {
        if (std::ranges::count(leadingKeys, key) == 0)
            text += fmt::format(" {}={}", key, value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

}
