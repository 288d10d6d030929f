#include "Experiment/ConfigurationRun.h"

#include "Configuration/ConfigurationContent.h"
#include "Configuration/ConfigurationWriter.h"
#include "Experiment/ZoneFaults.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto faultFreeStart = 3s;
    constexpr auto sampleInterval = 1s;
    constexpr auto pollInterval = 10ms;
    constexpr auto applyTimeout = 70s;
    constexpr auto inForceLimit = 5s;
    // Time from the beginning of a fault to the first apply.
    constexpr auto faultLeadTime = 100ms;
    constexpr const char* snapshotName = "older";

}

ConfigurationRun::ConfigurationRun(const ScenarioContext& context, Deployment& deployment, ControlPlaneMeter& control)
    : context_(context)
    , deployment_(deployment)
    , control_(control)
    , client_(context.loop)
    , watcher_(client_, deployment.balancers(), checker_)
    , schedule_(context.options.seed, context.options.availabilityZones)
    , configuration_(deployment.configurationOperator().configuration())
{
}

Result<void> ConfigurationRun::drive()
{
    begin_ = Clock::now();
    nextSample_ = begin_;
    watcher_.updateProcesses();
    checker_.accepted(version_, contentHashOf(writeConfiguration(configuration_)), begin_);
    BOOST_OUTCOME_TRY(before, deployment_.platform().counters());
    countersBefore_ = before;
    BOOST_OUTCOME_TRYV(monitor(faultFreeStart));
    stepsBegan_ = true;
    while (Clock::now() < begin_ + context_.options.length) {
        const ConfigurationStep step = schedule_.next();
        log_.info(fmt::format("{}{}{}", nameOf(step.fault), step.races ? ", two operators" : "",
            step.restarts ? ", a balancer is replaced" : ""));
        BOOST_OUTCOME_TRYV(perform(step));
        BOOST_OUTCOME_TRYV(waitUntilInForce());
        BOOST_OUTCOME_TRYV(monitor(step.pause));
    }
    // Gives the balancers that started last enough time to be checked.
    BOOST_OUTCOME_TRYV(monitor(ConfigurationChecker::settleTime));
    end_ = Clock::now();
    BOOST_OUTCOME_TRY(after, deployment_.platform().counters());
    platformCallsPerSecond_ = static_cast<double>(after.calls - countersBefore_.calls)
        / std::chrono::duration<double>(end_ - begin_).count();
    return control_.sample(true);
}

Result<void> ConfigurationRun::perform(const ConfigurationStep& step)
{
    restartIsDue_ = step.restarts;
    if (step.fault == ConfigurationFault::LoseAnswers)
        return loseAnswers(step);
    if (step.fault == ConfigurationFault::Restore)
        return restoreOlderSnapshot(step);

    const bool hasDuration
        = step.fault != ConfigurationFault::Race && step.fault != ConfigurationFault::RestartBalancer;
    const TimePoint faultEnd = Clock::now() + step.length;
    if (hasDuration) {
        ++faults_;
        BOOST_OUTCOME_TRYV(beginFault(step));
        BOOST_OUTCOME_TRYV(monitor(faultLeadTime));
    }
    BOOST_OUTCOME_TRYV(startApplies(step.races));
    if (hasDuration) {
        while (Clock::now() < faultEnd) {
            BOOST_OUTCOME_TRYV(monitor(pollInterval));
            BOOST_OUTCOME_TRYV(pollApplies(step));
        }
        BOOST_OUTCOME_TRYV(endFault(step));
    }
    return finishApplies(step);
}

// Each apply writes one part of its own content, and one of the concurrent applies succeeds in writing the head. Losing
// that many answers therefore includes the answer to the head write.
Result<void> ConfigurationRun::loseAnswers(const ConfigurationStep& step)
{
    const std::uint64_t writes = step.races ? 3 : 2;
    BOOST_OUTCOME_TRY(before, deployment_.platform().counters());
    BOOST_OUTCOME_TRYV(deployment_.platform().loseWriteAnswers(writes));
    BOOST_OUTCOME_TRYV(startApplies(step.races));
    BOOST_OUTCOME_TRYV(finishApplies(step));
    BOOST_OUTCOME_TRYV(deployment_.platform().loseWriteAnswers(0));
    BOOST_OUTCOME_TRY(after, deployment_.platform().counters());
    faults_ += after.answersLost - before.answersLost;
    if (after.answersLost - before.answersLost >= writes)
        ++lostOutcomes_;
    return boost::outcome_v2::success();
}

// Versions accepted after the snapshot are in force on all balancers before the platform is restored.
Result<void> ConfigurationRun::restoreOlderSnapshot(const ConfigurationStep& step)
{
    BOOST_OUTCOME_TRYV(deployment_.platform().takeSnapshot(snapshotName));
    for (int i = 0; i < 2; ++i) {
        BOOST_OUTCOME_TRYV(startApplies(false));
        BOOST_OUTCOME_TRYV(finishApplies(step));
    }
    BOOST_OUTCOME_TRYV(waitUntilInForce());
    ++faults_;
    BOOST_OUTCOME_TRYV(deployment_.platform().restore(snapshotName));
    restartIsDue_ = step.restarts;
    if (restartIsDue_) {
        BOOST_OUTCOME_TRYV(restartBalancer(step));
    }
    BOOST_OUTCOME_TRYV(monitor(step.length));
    BOOST_OUTCOME_TRYV(startApplies(false));
    return finishApplies(step);
}

Result<void> ConfigurationRun::beginFault(const ConfigurationStep& step)
{
    switch (step.fault) {
    case ConfigurationFault::PlatformOutage:
        return deployment_.platform().setOutage(true);
    case ConfigurationFault::SlowPlatform:
        return deployment_.platform().setCallDelay(step.delay);
    case ConfigurationFault::CutZone:
        watcher_.cutBegan(step.zone);
        return setZoneFaults(deployment_, step.zone, { .cut = true });
    default:
        return boost::outcome_v2::success();
    }
}

Result<void> ConfigurationRun::endFault(const ConfigurationStep& step)
{
    switch (step.fault) {
    case ConfigurationFault::PlatformOutage:
        return deployment_.platform().setOutage(false);
    case ConfigurationFault::SlowPlatform:
        return deployment_.platform().setCallDelay(0ms);
    case ConfigurationFault::CutZone:
        // The checker must see the end of the cut no later than the balancers do.
        watcher_.cutEnded(step.zone);
        return setZoneFaults(deployment_, step.zone, {});
    default:
        return boost::outcome_v2::success();
    }
}

Result<void> ConfigurationRun::startApplies(bool races)
{
    races_ += races ? 1 : 0;
    BOOST_OUTCOME_TRYV(startApply(races));
    if (races) {
        BOOST_OUTCOME_TRYV(startApply(races));
    }
    return boost::outcome_v2::success();
}

// Each apply writes a weight that no earlier one wrote, so that all contents differ.
Result<void> ConfigurationRun::startApply(bool setsBaseVersion)
{
    ++sent_;
    ConfigurationApplyRequest request;
    request.id = fmt::format("apply-{}-{}", context_.options.seed, sent_);
    request.author = fmt::format("operator-{}", applies_.size() + 1);
    request.configuration = configuration_;
    auto& servers = request.configuration.backendServers;
    servers[sent_ % servers.size()].weight = static_cast<std::uint32_t>(BackendServer().weight + sent_);
    if (setsBaseVersion)
        request.baseVersion = version_;
    request.platform = deployment_.platform().address();
    request.balancers = deployment_.balancers().requestAddresses();
    BOOST_OUTCOME_TRY(apply, ConfigurationApply::start(deployment_.starter(), std::move(request)));
    applies_.push_back(std::move(apply));
    return boost::outcome_v2::success();
}

Result<void> ConfigurationRun::pollApplies(const ConfigurationStep& step)
{
    for (const auto& apply : applies_) {
        if (apply->isSettled())
            continue;
        BOOST_OUTCOME_TRYV(apply->poll());
        if (!apply->isAccepted())
            continue;
        recordAccepted(*apply);
        if (restartIsDue_) {
            BOOST_OUTCOME_TRYV(restartBalancer(step));
        }
    }
    return boost::outcome_v2::success();
}

Result<void> ConfigurationRun::finishApplies(const ConfigurationStep& step)
{
    const auto areSettled = [this] {
        return std::all_of(applies_.begin(), applies_.end(), [](const auto& apply) { return apply->isSettled(); });
    };
    const TimePoint limit = Clock::now() + applyTimeout;
    while (!areSettled()) {
        if (Clock::now() > limit)
            return Error { ErrorCode::DeadlineExceeded, "the applies did not finish in time" };
        BOOST_OUTCOME_TRYV(monitor(pollInterval));
        BOOST_OUTCOME_TRYV(pollApplies(step));
    }
    for (const auto& apply : applies_) {
        refused_ += apply->isAccepted() ? 0 : 1;
        lostOutcomes_ += apply->wasUnknown() ? 1 : 0;
    }
    if (applies_.size() > 1)
        countRace();
    else if (!applies_.front()->isAccepted())
        ++refusedAlone_;
    applies_.clear();
    return boost::outcome_v2::success();
}

void ConfigurationRun::countRace()
{
    const auto winners
        = std::count_if(applies_.begin(), applies_.end(), [](const auto& apply) { return apply->isAccepted(); });
    const bool losersKnowWinner = std::all_of(applies_.begin(), applies_.end(),
        [](const auto& apply) { return apply->isAccepted() || apply->namesWinner(); });
    if (winners == 1 && losersKnowWinner)
        return;
    ++unfairRaces_;
    for (const auto& apply : applies_) {
        log_.warning(fmt::format("race: {}, version {}, reason {}", apply->isAccepted() ? "accepted" : "refused",
            apply->version(), apply->reason()));
    }
}

void ConfigurationRun::recordAccepted(const ConfigurationApply& apply)
{
    ++acceptedCount_;
    checker_.accepted(apply.version(), apply.contentHash(), Clock::now());
    log_.info(fmt::format("version {} was accepted", apply.version()));
    configuration_ = apply.configuration();
    version_ = apply.version();
}

Result<void> ConfigurationRun::restartBalancer(const ConfigurationStep& step)
{
    restartIsDue_ = false;
    BalancerFleet& balancers = deployment_.balancers();
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < balancers.startedCount(); ++i) {
        if (balancers.isRunning(i))
            running.push_back(i);
    }
    const std::size_t subject = running[step.balancerSelector % running.size()];
    ++faults_;
    ++restarts_;
    balancers.kill(subject);
    watcher_.updateProcesses();
    BOOST_OUTCOME_TRYV(balancers.removeFromFabric(subject));
    BOOST_OUTCOME_TRYV(balancers.add(1));
    watcher_.updateProcesses();
    return boost::outcome_v2::success();
}

Result<void> ConfigurationRun::waitUntilInForce()
{
    return monitor(Clock::now() + inForceLimit, [this] { return checker_.isInForceEverywhere(version_); });
}

Result<void> ConfigurationRun::monitor(Duration length)
{
    return monitor(Clock::now() + length, [] { return false; });
}

Result<void> ConfigurationRun::monitor(TimePoint end, const Condition& condition)
{
    while (!condition() && Clock::now() < end) {
        if (Clock::now() >= nextSample_) {
            nextSample_ = Clock::now() + sampleInterval;
            BOOST_OUTCOME_TRYV(control_.sample(stepsBegan_));
        }
        watcher_.poll();
        BOOST_OUTCOME_TRYV(context_.loop.runUntil(std::min(end, Clock::now() + pollInterval)));
    }
    return boost::outcome_v2::success();
}

Verdict ConfigurationRun::check()
{
    const std::uint64_t partial = checker_.partialApplies();
    const std::uint64_t reversions = checker_.reversions(end_);
    const double inForce = checker_.inForceSecondsMax(end_);
    ResultRows& rows = context_.rows;
    rows.set("applies_sent", sent_);
    rows.set("applies_accepted", acceptedCount_);
    rows.set("applies_refused", refused_);
    rows.set("applies_lost_outcome", lostOutcomes_);
    rows.set("partial_applies", partial);
    rows.set("reversions", reversions);
    rows.set("in_force_seconds_max", inForce);
    rows.set("platform_calls_per_second", platformCallsPerSecond_);
    rows.set("races", races_);
    rows.set("unfair_races", unfairRaces_);
    rows.set("refused_alone", refusedAlone_);
    rows.set("balancers_replaced", restarts_);
    rows.set("status_answers", watcher_.answers());
    rows.set("status_calls_failed", watcher_.failedCalls());
    rows.set("faults_injected", faults_ + control_.proxyFaults());
    control_.report(rows);

    Verdict verdict;
    verdict.require(acceptedCount_ > 0, "no apply was accepted");
    verdict.require(lostOutcomes_ > 0, "no apply lost the answer to its head write");
    verdict.require(faults_ > 0, "no fault was injected");
    verdict.require(watcher_.answers() > 0, "no balancer reported its version");
    verdict.require(partial == 0, "balancers served contents that were not accepted as that version");
    verdict.require(reversions == 0, "balancers went back to lower versions");
    verdict.require(inForce < std::chrono::duration<double>(inForceLimit).count(),
        "an accepted version was not in force within 5 s on a reachable balancer");
    verdict.require(
        unfairRaces_ == 0, "a race did not end with exactly one winner and a loser that was told the winner");
    verdict.require(refusedAlone_ == 0, "an apply was refused although no other was running");
    verdict.require(control_.overflowed() == 0, "the fault proxy dropped data because its buffers were full");
    const std::string exits = deployment_.balancers().unexpectedExits();
    verdict.require(exits.empty(), exits);
    return verdict;
}

}
