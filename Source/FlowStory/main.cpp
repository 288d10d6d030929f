#include "FlowStory/FlowStory.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::string, request, "", "the request's id");
ABSL_FLAG(std::string, flow, "", "the flow, CALLER>ROUTE, or the caller's ADDRESS:PORT alone");
ABSL_FLAG(std::string, server, "", "a backend server's id");
ABSL_FLAG(unsigned, around_milliseconds, 5000, "how long before and after the circumstances are told");
ABSL_FLAG(std::string, format, "text", "text or json");

namespace wisteriadock {
namespace {

    enum ExitCode : int {
        Success = 0,
        NoMatch = 1,
        BadInput = 2,
    };

    int printFlowLines(const std::vector<char*>& arguments)
    {
        const std::string format = absl::GetFlag(FLAGS_format);
        if (format != "text" && format != "json") {
            fmt::print(stderr, "--format: '{}' is neither text nor json\n", format);
            return BadInput;
        }
        std::size_t unreadable = 0;
        std::vector<LogLine> lines;
        for (std::size_t i = 1; i < arguments.size(); ++i) {
            std::ifstream file(arguments[i]);
            if (!file) {
                fmt::print(stderr, "{}: can't be read\n", arguments[i]);
                return BadInput;
            }
            std::ranges::move(readLogLines(file, unreadable), std::back_inserter(lines));
        }
        if (arguments.size() == 1)
            lines = readLogLines(std::cin, unreadable);
        if (unreadable > 0)
            fmt::print(stderr, "{} lines could not be read and are left out\n", unreadable);
        if (const std::size_t unwritten = countUnwrittenLines(lines))
            fmt::print(
                stderr, "{} lines were not written; log.suppressed and log.lines_dropped name them\n", unwritten);
        const auto selected = selectFlowLines(std::move(lines),
            { absl::GetFlag(FLAGS_request), absl::GetFlag(FLAGS_flow), absl::GetFlag(FLAGS_server),
                std::chrono::milliseconds(absl::GetFlag(FLAGS_around_milliseconds)) });
        if (!selected) {
            fmt::print(stderr, "{}\n", selected.error().toString());
            return selected.error().code == ErrorCode::NotFound ? NoMatch : BadInput;
        }
        const double first = selected.value().front().timeOfDay;
        for (const LogLine& line : selected.value())
            fmt::print("{}\n", format == "json" ? line.fields.dump() : describe(line, first));
        return Success;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Tells what became of one flow at all balancers, from their logs.\n"
        "  wisteriadock-flow-story --request ID|--flow CALLER>ROUTE|--server ID [FILE...]\n"
        "Without files it reads standard input. Exits with 1 when no line fits, 2 on bad input.");
    return wisteriadock::printFlowLines(absl::ParseCommandLine(argc, argv));
}
