#pragma once

#include "Core/EventLog.h"
#include "Membership/Member.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// Writes the log lines about other balancers: those discovered, lost, regained or changed, and whether this balancer is
// isolated. The balancers discovered after the start are logged in one line, once the view has settled. Called by
// PeerSync.
class MembersLog {
public:
    // More changes of one kind in one view are logged in one line.
    static constexpr std::size_t maxSeparateLines = 16;
    // After this time the balancers discovered are logged even if the view has not settled.
    static constexpr std::chrono::milliseconds maxDiscoveryTime { 10000 };

    explicit MembersLog(EventLog& log)
        : log_(log)
    {
    }

    void start(TimePoint now) { startedAt_ = now; }
    // Membership published a new view.
    void handleView(const MembersView&, bool isSettled, TimePoint now);
    // Call it every 100 to 250 ms.
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
    // None before start(); messages of others may arrive before that.
    std::optional<TimePoint> startedAt_;
    // The last logged state of each known balancer.
    std::map<BalancerId, KnownState> knownStates_;
    bool isIsolated_ = false;
    bool hasLoggedDiscovery_ = false;
};

}
