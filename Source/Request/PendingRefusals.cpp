#include "Request/PendingRefusals.h"

#include <utility>

namespace wisteriadock {

namespace {

    void append(std::vector<PendingRefusal>& all, std::vector<PendingRefusal> more)
    {
        all.insert(all.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }

}

PendingRefusals::PendingRefusals(Duration timeout)
    : timeout_(timeout)
{
}

void PendingRefusals::add(const BalancerInstance& backup, const PendingRefusal& refusal)
{
    lines_[backup].next.push_back(refusal);
}

std::vector<OutgoingMessage> PendingRefusals::takeEpochChecks(std::uint64_t epoch, TimePoint now)
{
    std::vector<OutgoingMessage> questions;
    for (auto& [backup, line] : lines_) {
        if (!line.asked.empty() || line.next.empty())
            continue;
        line.asked = std::exchange(line.next, {});
        line.nonce = ++lastNonce_;
        line.until = now + timeout_;
        questions.push_back({ backup, CheckEpoch { epoch, line.nonce } });
    }
    return questions;
}

std::vector<PendingRefusal> PendingRefusals::takeAnswered(const BalancerInstance& from, const EpochChecked& answer)
{
    const auto line = lines_.find(from);
    if (line == lines_.end() || line->second.asked.empty() || line->second.nonce != answer.nonce)
        return {};
    return std::exchange(line->second.asked, {});
}

std::vector<PendingRefusal> PendingRefusals::takeExpired(TimePoint now)
{
    std::vector<PendingRefusal> expired;
    for (auto& [backup, line] : lines_) {
        if (!line.asked.empty() && now >= line.until)
            append(expired, std::exchange(line.asked, {}));
    }
    return expired;
}

std::vector<PendingRefusal> PendingRefusals::takeAll()
{
    std::vector<PendingRefusal> all;
    for (auto& [backup, line] : lines_) {
        append(all, std::move(line.asked));
        append(all, std::move(line.next));
    }
    lines_.clear();
    return all;
}

std::size_t PendingRefusals::size() const
{
    std::size_t count = 0;
    for (const auto& [backup, line] : lines_)
        count += line.asked.size() + line.next.size();
    return count;
}

}
