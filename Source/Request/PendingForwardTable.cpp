#include "Request/PendingForwardTable.h"

namespace wisteriadock {

PendingForwardTable::PendingForwardTable(const BalancerInstance& self, std::chrono::milliseconds acknowledgeTimeout)
    : self_(self)
    , acknowledgeTimeout_(acknowledgeTimeout)
{
}

ForwardToken PendingForwardTable::open(
    AttemptId id, const KeyDigest& key, const BalancerInstance& owner, TimePoint deadline, TimePoint now)
{
    const std::uint64_t number = ++lastNumber_;
    entries_[number] = { id, key, owner, deadline, now + acknowledgeTimeout_, false };
    return { self_, number };
}

std::map<std::uint64_t, PendingForwardTable::Entry>::iterator PendingForwardTable::find(
    const BalancerInstance& from, const ForwardToken& token)
{
    const auto found = token.entry == self_ ? entries_.find(token.number) : entries_.end();
    const bool isOwners = found != entries_.end() && found->second.owner == from;
    return isOwners ? found : entries_.end();
}

void PendingForwardTable::acknowledge(const BalancerInstance& from, const ForwardToken& token)
{
    const auto found = find(from, token);
    if (found != entries_.end())
        found->second.isAcknowledged = true;
}

PendingForwardTable::Resolved PendingForwardTable::resolve(const BalancerInstance& from, const ForwardedAnswer& answer)
{
    const auto found = find(from, answer.token);
    if (found == entries_.end() || found->second.key != answer.key) {
        ++dropped_;
        return {};
    }
    const AttemptId id = found->second.id;
    entries_.erase(found);
    const bool isComplete = answer.declaredBytes == answer.receivedBytes;
    return { isComplete ? Delivery::Deliver : Delivery::Incomplete, id };
}

std::optional<AttemptId> PendingForwardTable::redirect(const BalancerInstance& from, const ForwardToken& token)
{
    const auto found = find(from, token);
    if (found == entries_.end())
        return std::nullopt;
    const AttemptId id = found->second.id;
    entries_.erase(found);
    return id;
}

std::optional<PendingForwardTable::Forward> PendingForwardTable::cancel(AttemptId id)
{
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (entry->second.id != id)
            continue;
        const Forward forward { entry->second.owner, { self_, entry->first } };
        entries_.erase(entry);
        return forward;
    }
    return std::nullopt;
}

std::vector<AbandonedForward> PendingForwardTable::removeOwner(const BalancerInstance& owner)
{
    std::vector<AbandonedForward> abandoned;
    std::erase_if(entries_, [&](const auto& item) {
        if (item.second.owner != owner)
            return false;
        abandoned.push_back({ item.second.id, RefusalReason::HomeUnreachable });
        return true;
    });
    return abandoned;
}

std::vector<AbandonedForward> PendingForwardTable::expire(TimePoint now)
{
    std::vector<AbandonedForward> abandoned;
    std::erase_if(entries_, [&](const auto& item) {
        const Entry& entry = item.second;
        const bool isUnacknowledged = !entry.isAcknowledged && now >= entry.acknowledgeDeadline;
        const bool isLate = now >= entry.deadline;
        if (!isUnacknowledged && !isLate)
            return false;
        abandoned.push_back({ entry.id, isLate ? RefusalReason::DeadlinePassed : RefusalReason::HomeUnreachable });
        return true;
    });
    return abandoned;
}

}
