#pragma once

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace wisteriadock {

// What a server that may live contributes to StartTimeUse.
enum class StartTimeVote {
    None, // It tells no start time, and has not answered.
    Telling,
    AnsweringTelling, // It has answered this balancer.
    AnsweringWithout, // It has answered, and tells no start time.
};

// Whether the platform's servers tell a start time in their entries, so that an entry without one lacks a field. Either
// all of them do or none does. Another writer may write any number of entries of either kind, but it has no servers
// that answer under its own ids.
class StartTimeUse {
public:
    // So many servers that tell a start time must have answered, or half of them, and none without one, before they
    // outweigh a greater number of entries without one.
    static constexpr std::size_t minAnswering = 2;
    static constexpr std::size_t enoughAnswering = 8;

    void change(StartTimeVote from, StartTimeVote to)
    {
        --count(from);
        ++count(to);
    }
    // The newest entry of the id and the server itself tell none.
    void addWithout(const std::string& id) { without_.insert(id); }
    void removeWithout(const std::string& id) { without_.erase(id); }
    std::vector<std::string> sortedIdsWithout() const
    {
        std::vector<std::string> ids(without_.begin(), without_.end());
        std::ranges::sort(ids);
        return ids;
    }

    bool isExpected() const
    {
        const std::size_t answeringTelling = count(StartTimeVote::AnsweringTelling);
        const std::size_t answeringWithout = count(StartTimeVote::AnsweringWithout);
        const std::size_t telling = answeringTelling + count(StartTimeVote::Telling);
        if (telling == 0 || answeringWithout > answeringTelling)
            return false;
        return telling >= without_.size() || (answeringWithout == 0 && isEnough(answeringTelling, telling));
    }
    // Returns whether the answer has changed since the last call.
    bool hasChanged()
    {
        const bool wasExpected = wasExpected_;
        wasExpected_ = isExpected();
        return wasExpected != wasExpected_;
    }

private:
    static bool isEnough(std::size_t answering, std::size_t telling)
    {
        return answering >= enoughAnswering || (answering >= minAnswering && 2 * answering >= telling);
    }
    std::size_t& count(StartTimeVote vote) { return votes_[static_cast<std::size_t>(vote)]; }
    std::size_t count(StartTimeVote vote) const { return votes_[static_cast<std::size_t>(vote)]; }

    // The count of None is not used and wraps around.
    std::array<std::size_t, 4> votes_ {};
    absl::flat_hash_set<std::string> without_;
    bool wasExpected_ = false;
};

}
