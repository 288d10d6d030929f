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
    queues_[backup].waiting.push_back(refusal);
}

std::vector<OutgoingMessage> PendingRefusals::takeEpochChecks(std::uint64_t epoch, TimePoint now)
{
    std::vector<OutgoingMessage> checks;
    for (auto& [backup, queue] : queues_) {
        if (!queue.inCheck.empty() || queue.waiting.empty())
            continue;
        queue.inCheck = std::exchange(queue.waiting, {});
        queue.nonce = ++lastNonce_;
        queue.checkDeadline = now + timeout_;
        checks.push_back({ backup, CheckEpoch { epoch, queue.nonce } });
    }
    return checks;
}

std::vector<PendingRefusal> PendingRefusals::takeChecked(const BalancerInstance& from, const EpochChecked& answer)
{
    const auto queue = queues_.find(from);
    if (queue == queues_.end() || queue->second.inCheck.empty() || queue->second.nonce != answer.nonce)
        return {};
    return std::exchange(queue->second.inCheck, {});
}

std::vector<PendingRefusal> PendingRefusals::takeExpired(TimePoint now)
{
    std::vector<PendingRefusal> expired;
    for (auto& [backup, queue] : queues_) {
        if (!queue.inCheck.empty() && now >= queue.checkDeadline)
            append(expired, std::exchange(queue.inCheck, {}));
    }
    return expired;
}

std::vector<PendingRefusal> PendingRefusals::takeAll()
{
    std::vector<PendingRefusal> all;
    for (auto& [backup, queue] : queues_) {
        append(all, std::move(queue.inCheck));
        append(all, std::move(queue.waiting));
    }
    queues_.clear();
    return all;
}

std::size_t PendingRefusals::size() const
{
    std::size_t count = 0;
    for (const auto& [backup, queue] : queues_)
        count += queue.inCheck.size() + queue.waiting.size();
    return count;
}

}
