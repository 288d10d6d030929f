#include "Experiment/ConfigurationApply.h"

#include "Configuration/ConfigurationContent.h"
#include "Configuration/ConfigurationWriter.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto retryInterval = 200ms;
    constexpr auto applyTimeout = 60s;

    std::string listOf(const std::vector<Endpoint>& addresses)
    {
        std::string text;
        for (const Endpoint& address : addresses)
            text += (text.empty() ? "" : ",") + address.toString();
        return text;
    }

}

Result<std::unique_ptr<ConfigurationApply>> ConfigurationApply::start(
    ProcessStarter& starter, ConfigurationApplyRequest request)
{
    std::unique_ptr<ConfigurationApply> apply(new ConfigurationApply(starter, std::move(request)));
    const std::string text = writeConfiguration(apply->request_.configuration);
    apply->contentHash_ = contentHashOf(text);
    BOOST_OUTCOME_TRY(file, starter.directory().write(apply->request_.id + ".ini", text));
    apply->file_ = file.string();
    BOOST_OUTCOME_TRYV(apply->startCtl());
    return apply;
}

Result<void> ConfigurationApply::startCtl()
{
    ++attempts_;
    std::vector<std::string> arguments { "--platform=" + request_.platform.toString(), "--format=json",
        "--balancers=" + listOf(request_.balancers), "--apply_id=" + request_.id, "--author=" + request_.author };
    if (request_.baseVersion)
        arguments.push_back(fmt::format("--base_version={}", *request_.baseVersion));
    arguments.insert(arguments.end(), { "apply", file_ });
    BOOST_OUTCOME_TRY(ctl,
        starter_.start(fmt::format("{}-try-{}", request_.id, attempts_), "wisteriadock-ctl", std::move(arguments)));
    ctl_ = std::move(ctl);
    return boost::outcome_v2::success();
}

Result<void> ConfigurationApply::poll()
{
    const TimePoint now = Clock::now();
    if (isSettled() || now < nextAttempt_)
        return boost::outcome_v2::success();
    if (now > begin_ + applyTimeout)
        return Error { ErrorCode::DeadlineExceeded, "no final outcome of " + request_.id + ": " + report_.dump() };
    if (!ctl_)
        return startCtl();
    if (!ctl_->exitCode())
        return boost::outcome_v2::success();
    return handleReport();
}

Result<void> ConfigurationApply::handleReport()
{
    // The exit of the process may be detected before its last output is read. applyTimeout limits this wait.
    auto report = nlohmann::json::parse(ctl_->output(), nullptr, false);
    if (!report.is_object())
        return boost::outcome_v2::success();
    report_ = std::move(report);
    ctl_.reset();

    const std::string status = report_.value("status", "");
    accepted_ = status == "accepted";
    refused_ = status == "refused";
    if (status == "unknown") {
        wasUnknown_ = true;
        request_.baseVersion = report_.value("base_version", std::uint64_t(0));
    } else if (!isSettled() && status != "unavailable") {
        return Error { ErrorCode::InvalidArgument, request_.id + ": " + report_.dump() };
    }
    nextAttempt_ = Clock::now() + retryInterval;
    return boost::outcome_v2::success();
}

}
