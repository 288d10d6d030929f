#include "Forward/OpeningAdmission.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Sets this choice apart from others that are made by the same flow.
    constexpr std::uint64_t choiceSeed = 0x61646d69;

    // Evenly spread over 0 to 1.
    double lotOf(const FlowEnds& ends)
    {
        const std::uint64_t caller = (std::uint64_t(ends.caller.address) << 16) | ends.caller.port;
        return static_cast<double>(hashPair(choiceSeed, caller) >> 11) / static_cast<double>(std::uint64_t(1) << 53);
    }

}

void OpeningAdmission::noteAnswer(const std::string& service, Duration took, TimePoint now)
{
    Recent& recent = services_[service];
    recent.answers[recent.next] = { took, now };
    recent.next = (recent.next + 1) % remembered;
}

Admission OpeningAdmission::admit(
    const std::string& service, std::chrono::milliseconds targetLatency, const FlowEnds& ends, TimePoint now) const
{
    Admission admission;
    const auto found = services_.find(service);
    if (targetLatency <= std::chrono::milliseconds::zero() || found == services_.end())
        return admission;
    admission.answerTime = answerTimeOf(found->second, now);
    const std::chrono::duration<double> time = admission.answerTime;
    const double share = time / std::chrono::duration<double>(targetLatency);
    const double refused = (share - settings_.refuseFrom) / (settings_.refuseAllFrom - settings_.refuseFrom);
    admission.isRefused = refused > lotOf(ends);
    return admission;
}

Duration OpeningAdmission::answerTimeOf(const Recent& recent, TimePoint now) const
{
    std::array<Duration, remembered> times {};
    std::size_t count = 0;
    for (const Answer& answer : recent.answers) {
        if (answer.at != TimePoint::min() && now - answer.at <= settings_.maxAnswerAge)
            times[count++] = answer.took;
    }
    if (count < settings_.minAnswers)
        return {};
    const auto rank = static_cast<std::size_t>(static_cast<double>(count - 1) * settings_.quantile);
    std::nth_element(times.begin(), times.begin() + rank, times.begin() + count);
    return times[rank];
}

}
