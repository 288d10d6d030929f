#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace wisteriadock::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Discrete-event simulation in virtual time, with the seeded random numbers of a test.
class EventSimulator {
public:
    explicit EventSimulator(std::uint64_t seed)
        : random_(seed)
    {
    }

    TimePoint now() const { return now_; }
    void after(Duration wait, std::function<void()> event) { events_.emplace(now_ + wait, std::move(event)); }

    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    bool chance(double probability) { return static_cast<double>(random_() >> 11) * 0x1p-53 < probability; }
    Duration between(Duration shortest, Duration longest)
    {
        return shortest + Duration(draw(static_cast<std::uint64_t>((longest - shortest).count()) + 1));
    }

private:
    std::mt19937_64 random_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    std::multimap<TimePoint, std::function<void()>> events_;
};

// Network partitions by direction. The nodes are zone names and "platform".
class FakePartitions {
public:
    void cut(const std::string& from, const std::string& to) { partitions_[{ from, to }]++; }
    void heal(const std::string& from, const std::string& to) { partitions_[{ from, to }]--; }
    bool isBlocked(const std::string& from, const std::string& to) const
    {
        const auto found = partitions_.find({ from, to });
        return found != partitions_.end() && found->second > 0;
    }

private:
    std::map<std::pair<std::string, std::string>, int> partitions_;
};

}
