#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The lifecycle state of a balancer. All states except Dead are reported by the balancer itself.
enum class MemberState {
    Joining, // Started, but has not yet received the flows that are exceptions to its tables.
    Serving, // Takes decisions about flows and requests.
    Detached, // Serves, but cannot reach the platform; other balancers read the platform for it.
    Leaving, // Is about to stop as planned; takes no new duties.
    Dead, // Declared dead by another balancer after its probes were unanswered.
};

std::string_view nameOf(MemberState);

// The bandwidth class of a link: the binary logarithm of its bandwidth in Mbit/s, rounded down, plus 1; 0 for a link of
// unknown bandwidth.
int bandwidthClassOf(std::uint32_t linkMegabits);

// One balancer as other balancers know it.
struct Member {
    BalancerId id;
    std::string name;
    std::string availabilityZone;
    // The UDP address for messages from other balancers.
    Endpoint peerAddress;
    // The UDP address for flow packets, both from the fabric and forwarded by other balancers.
    Endpoint flowAddress;
    // The TCP address for HTTP/2 requests from callers and other balancers.
    Endpoint requestAddress;
    // The wall clock's milliseconds at the start of the process, raised when the fleet already knows a higher value.
    // Messages of an older incarnation are dropped.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Joining;
    std::uint64_t configurationVersion = 0;
    // The bandwidth of its link in Mbit/s; 0 if unknown.
    std::uint32_t linkMegabits = 0;

    bool isReachable() const { return state != MemberState::Dead; }

    bool operator==(const Member&) const = default;
};

// The balancers that one balancer knows, including itself, sorted by id. Immutable once published.
struct MembersView {
    // Increases by one with each published view.
    std::uint64_t revision = 0;
    BalancerId self;
    std::vector<Member> members;
    // True while no other balancer answers although some are expected to: the process was paused, or is cut off from
    // all others. The view may be stale, so nothing that others may have changed in the meantime may be decided from
    // it.
    bool isolated = false;

    // Null if there is no such member.
    const Member* find(BalancerId) const;
    const Member* findSelf() const { return find(self); }
};

}
