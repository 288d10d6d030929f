#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// How far a balancer is in its life, as it says itself and as others last heard.
enum class MemberState {
    Joining, // Up, but has not learned yet which flows are exceptions to its tables.
    Serving, // Decides on its own.
    Detached, // Serves, but the platform does not answer it: others read the platform in its place.
    Leaving, // Stops soon by plan; takes no new duties.
    Dead, // Silent for longer than its lease.
};

std::string_view nameOf(MemberState);

// Links that differ by less than a factor of two are alike. Rises with the width; 0 for a link of unknown width.
int bandwidthClassOf(std::uint32_t linkMegabits);

// One balancer as the others know it.
struct Member {
    BalancerId id;
    std::string name;
    std::string availabilityZone;
    // Where it takes messages from other balancers (datagrams).
    Endpoint peerAddress;
    // Where it takes flow packets, from the fabric and forwarded by other balancers (datagrams).
    Endpoint flowAddress;
    // Where it takes HTTP/2 requests from callers and other balancers.
    Endpoint requestAddress;
    // Rises with each start of the process. Messages of an older incarnation are dropped.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Joining;
    std::uint64_t configurationVersion = 0;
    // What its link carries; 0 when it does not say.
    std::uint32_t linkMegabits = 0;

    bool operator==(const Member&) const = default;
};

// The balancers that one balancer knows, itself included, sorted by id. Immutable once published.
struct MembersView {
    // Rises by one with each change.
    std::uint64_t revision = 0;
    BalancerId self;
    std::vector<Member> members;
    // True while this balancer hears from no other although it expects to: it was paused, or is cut off entirely.
    // What it believes may be old, so it must not decide what others may have changed meanwhile.
    bool isolated = false;

    const Member* find(BalancerId) const;
    const Member* findSelf() const { return find(self); }
};

}
