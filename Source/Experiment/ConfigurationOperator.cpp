#include "Experiment/ConfigurationOperator.h"

#include "Configuration/ConfigurationWriter.h"

#include <fmt/format.h>

#include <iterator>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto retryInterval = 200ms;
    constexpr auto refusalTimeout = 30s;

}

ConfigurationOperator::ConfigurationOperator(ProcessStarter& starter, Endpoint platform, Configuration first)
    : starter_(starter)
    , platform_(platform)
    , configuration_(std::move(first))
{
}

void ConfigurationOperator::change(const Change& change, OnAccepted onAccepted)
{
    change(configuration_);
    if (isIdle())
        waitingSince_ = Clock::now();
    queuedCallbacks_.push_back(std::move(onAccepted));
}

Result<void> ConfigurationOperator::poll()
{
    const TimePoint now = Clock::now();
    if (ctl_) {
        const auto exitCode = ctl_->exitCode();
        if (!exitCode)
            return boost::outcome_v2::success();
        if (*exitCode == 0) {
            ++accepted_;
            for (const OnAccepted& onAccepted : activeCallbacks_)
                onAccepted(now);
            waitingSince_ = now;
        } else {
            lastError_ = fmt::format("exit code {}: {}", *exitCode, ctl_->errorTail());
            queuedCallbacks_.insert(queuedCallbacks_.begin(), activeCallbacks_.begin(), activeCallbacks_.end());
            nextAttempt_ = now + retryInterval;
        }
        activeCallbacks_.clear();
        ctl_.reset();
    }
    if (queuedCallbacks_.empty() || now < nextAttempt_)
        return boost::outcome_v2::success();
    if (now > waitingSince_ + refusalTimeout)
        return Error { ErrorCode::Unavailable, "the configuration was not accepted: " + lastError_ };
    return startApply();
}

Result<void> ConfigurationOperator::startApply()
{
    ++applies_;
    const std::string name = fmt::format("configuration-{}", applies_);
    BOOST_OUTCOME_TRY(file, starter_.directory().write(name + ".ini", writeConfiguration(configuration_)));
    BOOST_OUTCOME_TRY(ctl,
        starter_.start(name, "wisteriadock-ctl", { "--platform=" + platform_.toString(), "apply", file.string() }));
    ctl_ = std::move(ctl);
    activeCallbacks_ = std::move(queuedCallbacks_);
    queuedCallbacks_.clear();
    return boost::outcome_v2::success();
}

}
