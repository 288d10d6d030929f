#include "Experiment/CallerRun.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto outputTimeout = 5s;
    // The last row that wisteriadock-standin-caller prints.
    constexpr const char* lastRow = "\nrequests_skipped ";

}

Result<std::unique_ptr<CallerRun>> CallerRun::start(
    Deployment& deployment, const ExperimentOptions& options, const std::vector<std::string>& extraArguments)
{
    const auto recordFile = deployment.starter().directory().path() / "caller-records.json";
    std::vector<std::string> arguments {
        "--fabric=" + deployment.fabric().address().toString(),
        "--services=" + deployment.plan().callerServicesArgument(),
        fmt::format("--seed={}", options.seed),
        fmt::format("--seconds={}", options.length.count()),
        fmt::format("--flows_per_second={}", options.flowsPerSecond),
        "--record_file=" + recordFile.string(),
    };
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    BOOST_OUTCOME_TRY(process,
        deployment.starter().startListening("caller", "wisteriadock-standin-caller", arguments, { "replies" }));
    BOOST_OUTCOME_TRYV(deployment.backendServers().setReplyAddress(process->listening("replies").value()));
    return std::unique_ptr<CallerRun>(new CallerRun(std::move(process), recordFile));
}

CallerRun::CallerRun(std::unique_ptr<ChildProcess> process, std::filesystem::path recordFile)
    : process_(std::move(process))
    , recordFile_(std::move(recordFile))
    , begin_(Clock::now())
{
}

Result<void> CallerRun::readResults(EventLoop& loop)
{
    const auto complete = [&] { return process_->output().find(lastRow) != std::string::npos; };
    if (process_->exitCode().value_or(0) != 0 || !loop.waitUntil(complete, outputTimeout, "the callers' rows")) {
        return Error { ErrorCode::Unavailable,
            fmt::format("the callers exited with {}: {}", process_->exitCode().value_or(-1), process_->errorTail()) };
    }
    std::istringstream lines(process_->output());
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string name;
        std::uint64_t value = 0;
        if (words >> name >> value)
            rows_[name] = value;
    }
    std::ifstream file(recordFile_);
    records_ = nlohmann::json::parse(file, nullptr, false);
    if (!records_.is_object())
        return Error { ErrorCode::Unavailable, "the callers wrote no valid records" };
    return boost::outcome_v2::success();
}

std::uint64_t CallerRun::row(const std::string& name) const
{
    const auto found = rows_.find(name);
    return found == rows_.end() ? 0 : found->second;
}

}
