#pragma once

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// One line of a forwarder's log.
struct LogLine {
    // Seconds of the time of day, by which lines of several balancers are put in order.
    double timeOfDay = 0;
    nlohmann::ordered_json fields;

    std::string text(std::string_view key) const;
};

// Which flow to tell of. Any one of these is enough; together they all have to fit.
struct FlowStoryQuery {
    // The request's id.
    std::string request {};
    // "CALLER>ROUTE" as the log names flows, or only the caller's address and port.
    std::string flow {};
    // A backend server's id.
    std::string server {};
    // What happened to the flow's servers, the configuration and the balancers so long before and after is told too.
    std::chrono::milliseconds contextTime { 5000 };
};

// Reads lines of logs. What stands before an object, such as a prefix of whatever collected the lines, and lines
// without one are passed over. The number of lines that began like an object and were none is added to `unreadable`.
std::vector<LogLine> readLogLines(std::istream&, std::size_t& unreadable);

// How many lines their writers say they left out or dropped.
std::size_t countUnwrittenLines(const std::vector<LogLine>&);

// The lines that tell what became of the flow at all balancers, in the order of time. Fails with InvalidArgument when
// the query names nothing, and with NotFound when no line fits.
Result<std::vector<LogLine>> selectFlowLines(std::vector<LogLine> lines, const FlowStoryQuery&);

// "12.345678 vm-1 flow.opened server=i-1 …", the time counted from the story's first line.
std::string describe(const LogLine&, double firstTime);

}
