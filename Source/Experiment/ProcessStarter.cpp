#include "Experiment/ProcessStarter.h"

#include <fmt/format.h>

#include <algorithm>
#include <system_error>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto startTimeout = 20s;

    std::filesystem::path siblingProgram(const std::string& program)
    {
        std::error_code error;
        return std::filesystem::read_symlink("/proc/self/exe", error).parent_path() / program;
    }

}

Result<std::unique_ptr<ChildProcess>> ProcessStarter::start(
    const std::string& name, const std::string& program, std::vector<std::string> arguments)
{
    return ChildProcess::start(
        loop_.context(), { name, siblingProgram(program), std::move(arguments), directory_.path() });
}

Result<std::unique_ptr<ChildProcess>> ProcessStarter::startListening(const std::string& name,
    const std::string& program, std::vector<std::string> arguments, const std::vector<std::string>& listening)
{
    BOOST_OUTCOME_TRY(process, start(name, program, std::move(arguments)));
    const auto listens = [&] {
        return std::all_of(listening.begin(), listening.end(),
            [&](const std::string& each) { return process->listening(each).has_value(); });
    };
    const auto waited
        = loop_.waitUntil([&] { return listens() || !process->running(); }, startTimeout, name + " begins to listen");
    if (!waited)
        return waited.error();
    if (!listens())
        return Error { ErrorCode::Unavailable, fmt::format("{} did not start: {}", name, process->errorTail()) };
    return std::move(process);
}

}
