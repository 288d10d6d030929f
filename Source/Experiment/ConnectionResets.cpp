#include "Experiment/ConnectionResets.h"

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // No reset begins in the last part of the run.
    constexpr auto faultFreeEnd = 3s;
    constexpr auto resetLength = 50ms;
    constexpr auto minGap = 150ms;
    constexpr std::uint64_t gapRangeMilliseconds = 200;

}

ConnectionResets::ConnectionResets(Deployment& deployment, const ExperimentOptions& options, TimePoint begin)
    : deployment_(deployment)
    , enabled_(options.faults == FaultMode::All)
    , random_(options.seed)
    , next_(begin + faultFreeStart)
    , last_(begin + options.length - faultFreeEnd)
{
}

Result<void> ConnectionResets::poll()
{
    if (!enabled_)
        return boost::outcome_v2::success();
    const TimePoint now = Clock::now();
    if (!link_.empty() && now >= endsAt_) {
        BOOST_OUTCOME_TRYV(end());
    }
    if (link_.empty() && now >= next_ && now < last_)
        return begin();
    return boost::outcome_v2::success();
}

Result<void> ConnectionResets::begin()
{
    const auto& servers = deployment_.plan().servers;
    link_ = "backend/" + servers[random_() % servers.size()].name;
    next_ += minGap + std::chrono::milliseconds(random_() % gapRangeMilliseconds);
    endsAt_ = Clock::now() + resetLength;
    ++count_;
    return deployment_.proxy().setFaults({ link_, "*" }, { .cut = true, .reset = true });
}

Result<void> ConnectionResets::end()
{
    if (link_.empty())
        return boost::outcome_v2::success();
    const std::string link = std::move(link_);
    link_.clear();
    return deployment_.proxy().setFaults({ link, "*" }, {});
}

}
