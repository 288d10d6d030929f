#pragma once

#include "Flow/ChangeContext.h"
#include "Flow/FlowParts.h"

#include <map>
#include <memory>

namespace wisteriadock {

// Sends the exceptions of one service's table (the flows that stay on a server other than the table's) to other
// balancers, with retries per balancer and within the send budget. The arbiter uses it after it has switched to a new
// table, and to synchronize a balancer that asks for it.
class ExceptionDeliveries {
public:
    // Starts a delivery to the balancer, unless one of the same generation is in progress. A delivery of another
    // generation is replaced.
    void start(BalancerId to, std::uint64_t generation, std::shared_ptr<const FlowParts>, TimePoint now);

    // Processes an acknowledgement. Returns whether it completed the delivery.
    bool acknowledge(BalancerId from, const FlowMessage& ack);

    // Sends the parts that are due. The header supplies the service and the generations. The switch is announced again
    // at each retry interval, so that the other balancers know of it if the arbiter dies before all parts have arrived.
    void sendDue(const FlowMessage& header, const ChangeContext&);

    // Cancels the deliveries to balancers that are dead.
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
