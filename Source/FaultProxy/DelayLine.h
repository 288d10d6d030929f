#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace wisteriadock {

// A queue of units ordered by the time at which they are due. Units due at the same time leave in the order in which
// they were pushed. Unit is a container of bytes.
template <typename Unit> class DelayLine {
public:
    explicit DelayLine(std::size_t capacityBytes)
        : capacity_(capacityBytes)
    {
    }

    // Returns false and drops the unit when it does not fit into the capacity.
    bool push(TimePoint due, Unit unit)
    {
        if (bytes_ + unit.size() > capacity_)
            return false;
        bytes_ += unit.size();
        units_.emplace(due, std::move(unit));
        return true;
    }

    std::optional<TimePoint> nextDue() const
    {
        if (units_.empty())
            return std::nullopt;
        return units_.begin()->first;
    }

    std::optional<Unit> takeDue(TimePoint now)
    {
        if (units_.empty() || units_.begin()->first > now)
            return std::nullopt;
        Unit unit = std::move(units_.begin()->second);
        units_.erase(units_.begin());
        bytes_ -= unit.size();
        return unit;
    }

    std::size_t bytes() const { return bytes_; }

private:
    std::size_t capacity_;
    std::size_t bytes_ = 0;
    std::multimap<TimePoint, Unit> units_;
};

}
