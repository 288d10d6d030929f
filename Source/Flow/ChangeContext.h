#pragma once

#include "Core/Clock.h"
#include "Flow/FlowEngine.h"
#include "Flow/FlowParts.h"
#include "Membership/Member.h"

#include <optional>

namespace wisteriadock {

// What the control side of one service sees of its surroundings during one call.
struct ChangeContext {
    const MembersView& view;
    const FlowSettings& settings;
    SendBudget& budget;
    TimePoint now;
    FlowActions& actions;

    void send(BalancerId to, FlowMessage message) const { actions.push_back({ to, std::move(message) }); }
    // Whether the balancer counts as up, as far as this one knows.
    bool isAlive(BalancerId) const;
    // Calls the function with each other balancer that counts as up.
    template <typename Function> void forEachOther(Function function) const
    {
        for (const Member& member : view.members) {
            if (member.id != view.self && member.state != MemberState::Dead)
                function(member);
        }
    }
    // The balancer that should lead changes of the service: the first by rendezvous hashing among the serving ones.
    std::optional<BalancerId> arbiterOf(ServiceId) const;
    // The same among the others.
    std::optional<BalancerId> otherArbiterOf(ServiceId) const;
};

}
