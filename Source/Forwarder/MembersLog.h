#pragma once

#include "Core/EventLog.h"
#include "Membership/Member.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// The log lines about other balancers: who was met, lost, regained or changed, and whether any answers. Who has just
// started meets hundreds within seconds; these are told in one line once the view has settled.
class MembersLog {
public:
    // More alike changes in one view are told in one line.
    static constexpr std::size_t maxSeparateLines = 16;
    // A view that has not settled by then is told all the same.
    static constexpr std::chrono::milliseconds maxDiscoveryTime { 10000 };

    explicit MembersLog(EventLog& log)
        : log_(log)
    {
    }

    void start(TimePoint now) { startedAt_ = now; }
    // Another view was published.
    void handleView(const MembersView&, bool isSettled, TimePoint now);
    // Time has passed.
    void tick(const MembersView&, bool isSettled, TimePoint now);

private:
    struct KnownState {
        MemberState state = MemberState::Joining;
        TimePoint since;
    };
    struct Change {
        const Member* member = nullptr;
        Duration previousStateTime {};
    };
    using Changes = std::map<std::string_view, std::vector<Change>>;

    Changes changesOf(const MembersView&, TimePoint now);
    void logChanges(std::string_view event, const std::vector<Change>&, TimePoint now);

    EventLog& log_;
    TimePoint startedAt_ = TimePoint::min();
    // Since when each known balancer is in its state.
    std::map<BalancerId, KnownState> knownStates_;
    bool isIsolated_ = false;
    bool hasLoggedDiscovery_ = false;
};

}
