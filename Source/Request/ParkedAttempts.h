#pragma once

#include "Core/Clock.h"
#include "Request/RequestActions.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace wisteriadock {

// A bounded list of attempts that wait for a limited time until the claims of their bucket have moved.
class ParkedAttempts {
public:
    ParkedAttempts(std::size_t capacity, Duration maxWait)
        : capacity_(capacity)
        , maxWait_(maxWait)
    {
    }

    // False when the list is full.
    bool add(const KeyedAttempt& attempt, TimePoint now)
    {
        if (attempts_.size() >= capacity_)
            return false;
        attempts_.push_back({ attempt, std::min(attempt.deadline, now + maxWait_) });
        return true;
    }

    void remove(AttemptId id)
    {
        std::erase_if(attempts_, [&](const Entry& entry) { return entry.attempt.id == id; });
    }

    std::vector<KeyedAttempt> takeAll()
    {
        std::vector<KeyedAttempt> attempts;
        for (const Entry& entry : std::exchange(attempts_, {}))
            attempts.push_back(entry.attempt);
        return attempts;
    }

    std::vector<AttemptId> takeExpired(TimePoint now)
    {
        std::vector<AttemptId> expired;
        std::erase_if(attempts_, [&](const Entry& entry) {
            if (now < entry.until)
                return false;
            expired.push_back(entry.attempt.id);
            return true;
        });
        return expired;
    }

    std::size_t size() const { return attempts_.size(); }

private:
    struct Entry {
        KeyedAttempt attempt;
        TimePoint until;
    };

    std::size_t capacity_;
    Duration maxWait_;
    std::vector<Entry> attempts_;
};

}
