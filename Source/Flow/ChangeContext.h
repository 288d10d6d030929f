#pragma once

#include "Core/Clock.h"
#include "Flow/FlowEngine.h"
#include "Flow/FlowParts.h"
#include "Membership/Member.h"

#include <optional>

namespace wisteriadock {

// The state of the engine that a TableSynchronizer uses during one call: membership, settings, send budget and time.
// The messages to send are appended to the actions.
struct ChangeContext {
    const MembersView& view;
    const FlowSettings& settings;
    SendBudget& budget;
    TimePoint now;
    FlowActions& actions;

    void send(BalancerId to, FlowMessage message) const { actions.push_back({ to, std::move(message) }); }
    // Whether the membership view lists the balancer in any state other than dead.
    bool isAlive(BalancerId) const;
    // Calls the function with each member other than this balancer that is not dead.
    template <typename Function> void forEachOther(Function function) const
    {
        for (const Member& member : view.members) {
            if (member.id != view.self && member.state != MemberState::Dead)
                function(member);
        }
    }
    // The arbiter of the service, the balancer that coordinates changes of its table: the serving member with the
    // highest rendezvous hash for the service. None when no member serves.
    std::optional<BalancerId> arbiterOf(ServiceId) const;
    // The arbiter of the service if this balancer is not considered.
    std::optional<BalancerId> otherArbiterOf(ServiceId) const;
};

}
