#include "Forward/ServiceLoad.h"

namespace wisteriadock {

float ServiceLoad::demandOf(const std::string& callerZone) const
{
    float demand = 0;
    for (const ServiceLoadRow& row : rows) {
        if (row.callerZone == callerZone)
            demand += row.load.inProgress;
    }
    return demand;
}

float ServiceLoad::totalDemand(std::optional<std::uint32_t> priority) const
{
    float demand = 0;
    for (const ServiceLoadRow& row : rows) {
        if (!priority || row.priority == *priority)
            demand += row.load.inProgress;
    }
    return demand;
}

}
