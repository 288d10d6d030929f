#include "Flow/ExceptionDeliveries.h"

#include <utility>

namespace wisteriadock {

void ExceptionDeliveries::start(
    BalancerId to, std::uint64_t generation, std::shared_ptr<const FlowParts> parts, TimePoint now)
{
    const auto current = deliveries_.find(to);
    if (current != deliveries_.end() && current->second.generation == generation)
        return;
    deliveries_.insert_or_assign(to, Delivery { generation, PartSender(std::move(parts), now), now });
}

bool ExceptionDeliveries::acknowledge(BalancerId from, const FlowMessage& ack)
{
    const auto delivery = deliveries_.find(from);
    if (delivery == deliveries_.end() || delivery->second.generation != ack.targetGeneration)
        return false;
    delivery->second.parts.acknowledge(ack.listId, ack.part);
    if (!delivery->second.parts.isComplete())
        return false;
    deliveries_.erase(delivery);
    return true;
}

void ExceptionDeliveries::sendDue(const FlowMessage& header, const ChangeContext& context)
{
    announceSwitches(header, context);
    for (auto& [to, delivery] : deliveries_) {
        FlowMessage message = header;
        message.targetGeneration = delivery.generation;
        message.kind = static_cast<std::uint8_t>(FlowMessageKind::Exceptions);
        while (const auto part = delivery.parts.nextDue(context.now, context.settings.retryInterval)) {
            delivery.parts.fill(message, *part);
            if (!context.budget.take(estimatedBytes(message.groups)))
                return;
            context.send(to, message);
            delivery.parts.markSent(*part, context.now);
        }
    }
}

// Announcements are small and not charged to the budget, so that they also reach a receiver whose parts are delayed.
void ExceptionDeliveries::announceSwitches(const FlowMessage& header, const ChangeContext& context)
{
    for (auto& [to, delivery] : deliveries_) {
        if (context.now - delivery.switchAnnouncedAt < context.settings.retryInterval)
            continue;
        delivery.switchAnnouncedAt = context.now;
        FlowMessage message = header;
        message.targetGeneration = delivery.generation;
        message.kind = static_cast<std::uint8_t>(FlowMessageKind::Switch);
        context.send(to, std::move(message));
    }
}

void ExceptionDeliveries::removeDead(const ChangeContext& context)
{
    std::erase_if(deliveries_, [&](const auto& delivery) { return !context.isAlive(delivery.first); });
}

}
