#include "Membership/GossipQueue.h"

namespace wisteriadock {

void GossipQueue::push(BalancerId id, std::size_t sends)
{
    const bool isNew = sendsLeft_.insert_or_assign(id, sends).second;
    if (isNew)
        order_.push_front(id);
}

void GossipQueue::erase(BalancerId id)
{
    if (sendsLeft_.erase(id))
        std::erase(order_, id);
}

std::optional<BalancerId> GossipQueue::pop()
{
    if (order_.empty())
        return std::nullopt;
    const BalancerId id = order_.front();
    order_.pop_front();
    const auto remaining = sendsLeft_.find(id);
    if (--remaining->second == 0)
        sendsLeft_.erase(remaining);
    else
        order_.push_back(id);
    return id;
}

}
