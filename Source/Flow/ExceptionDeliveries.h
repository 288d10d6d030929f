#pragma once

#include "Flow/ChangeContext.h"
#include "Flow/FlowParts.h"

#include <map>
#include <memory>

namespace wisteriadock {

// Brings the exceptions of one service's table to other balancers, each with retries of its own, within the budget.
// The arbiter uses it after a switch and to bring a newcomer up to date.
class ExceptionDeliveries {
public:
    // Starts a delivery unless one of the same generation runs already.
    void start(BalancerId to, std::uint64_t generation, std::shared_ptr<const FlowParts>, TimePoint now);

    // Counts an acknowledgement. Returns whether it was the last one of its delivery.
    bool acknowledge(BalancerId from, const FlowMessage& ack);

    // Sends what is due. The header gives service and generations. The switch is announced again and again, since an
    // arbiter that dies must leave no one in doubt whether it had switched.
    void sendDue(const FlowMessage& header, const ChangeContext&);

    // Gives up on balancers that are no longer up.
    void removeDead(const ChangeContext&);

    bool isEmpty() const { return deliveries_.empty(); }
    void clear() { deliveries_.clear(); }

private:
    struct Delivery {
        std::uint64_t generation = 0;
        PartSender parts;
        TimePoint switchAnnouncedAt;
    };

    void announceSwitches(const FlowMessage& header, const ChangeContext&);

    std::map<BalancerId, Delivery> deliveries_;
};

}
