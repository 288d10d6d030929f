#include "Forward/OpeningAdmission.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Makes this hash independent of other hashes of the same flow.
    constexpr std::uint64_t admissionSeed = 0x61646d69;

    // Hashes a flow to a uniformly distributed number from 0 to 1.
    double uniformHash(const FlowEnds& ends)
    {
        const std::uint64_t caller = (std::uint64_t(ends.caller.address) << 16) | ends.caller.port;
        return static_cast<double>(hashPair(admissionSeed, caller) >> 11) / static_cast<double>(std::uint64_t(1) << 53);
    }

}

void OpeningAdmission::noteAnswer(const std::string& service, Duration answerTime, TimePoint now)
{
    RecentAnswers& recent = services_[service];
    recent.answers[recent.next] = { answerTime, now };
    recent.next = (recent.next + 1) % maxAnswers;
}

Admission OpeningAdmission::admit(
    const std::string& service, std::chrono::milliseconds targetLatency, const FlowEnds& ends, TimePoint now) const
{
    Admission admission;
    const auto found = services_.find(service);
    if (targetLatency <= std::chrono::milliseconds::zero() || found == services_.end())
        return admission;
    admission.answerTime = answerTimeOf(found->second, now);
    admission.isRefused = refusedShareAt(admission.answerTime, targetLatency) > uniformHash(ends);
    return admission;
}

double OpeningAdmission::refusedShareAt(Duration answerTime, std::chrono::milliseconds targetLatency) const
{
    const std::chrono::duration<double> time = answerTime;
    const double share = time / std::chrono::duration<double>(targetLatency);
    return (share - settings_.refuseFrom) / (settings_.refuseAllFrom - settings_.refuseFrom);
}

double OpeningAdmission::refusedShare(
    const std::string& service, std::chrono::milliseconds targetLatency, TimePoint now) const
{
    const auto found = services_.find(service);
    if (targetLatency <= std::chrono::milliseconds::zero() || found == services_.end())
        return 0;
    return std::clamp(refusedShareAt(answerTimeOf(found->second, now), targetLatency), 0.0, 1.0);
}

Duration OpeningAdmission::answerTimeOf(const RecentAnswers& recent, TimePoint now) const
{
    std::array<Duration, maxAnswers> times {};
    std::size_t count = 0;
    for (const Answer& answer : recent.answers) {
        if (answer.at != TimePoint::min() && now - answer.at <= settings_.maxAnswerAge)
            times[count++] = answer.time;
    }
    if (count < settings_.minAnswers)
        return {};
    const auto rank = static_cast<std::size_t>(static_cast<double>(count - 1) * settings_.quantile);
    std::nth_element(times.begin(), times.begin() + rank, times.begin() + count);
    return times[rank];
}

}
