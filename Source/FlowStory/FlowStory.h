#pragma once

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// One line of the structured log of a forwarder.
struct LogLine {
    // Wall-clock time in seconds; orders the lines of several balancers.
    double timeOfDay = 0;
    nlohmann::ordered_json fields;

    // The string value of a field, or an empty string.
    std::string text(std::string_view key) const;
};

// Selects flows. At least one of request, flow and server must be set; those that are set must all match.
struct FlowStoryQuery {
    // Request id.
    std::string request {};
    // "CALLER>ROUTE" as in the log, or only the address and port of the caller.
    std::string flow {};
    // Backend server id.
    std::string server {};
    // Related events of servers, configuration and balancers are included for this long before and after the flow.
    std::chrono::milliseconds contextTime { 5000 };
};

// Reads log lines. Text before the JSON object, such as the prefix of a log collector, and lines without an object are
// skipped. Adds the number of objects that are not valid log lines to `unreadable`.
std::vector<LogLine> readLogLines(std::istream&, std::size_t& unreadable);

// The number of lines that the log itself reports as left out or dropped.
std::size_t countUnwrittenLines(const std::vector<LogLine>&);

// Returns the lines of the selected flows from all balancers and their context, ordered by time. Fails with
// InvalidArgument if the query is empty, and with NotFound if no line matches.
Result<std::vector<LogLine>> selectFlowLines(std::vector<LogLine> lines, const FlowStoryQuery&);

// Formats a line as "12.345678 vm-1 flow.opened server=i-1 …", with the time in seconds since `firstTime`.
std::string describe(const LogLine&, double firstTime);

}
