#pragma once

#include "Membership/Member.h"
#include "Request/ClaimTerm.h"
#include "Request/RequestKey.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// Where a keyed request goes.
enum class AttemptRouteKind {
    Local, // This balancer owns the key: give it to the RequestRunner.
    Forward, // To the owner, over its request address.
    Unreachable, // Nobody who can vouch for the key can be reached: refuse at once as unknown.
};

struct Route {
    AttemptRouteKind kind = AttemptRouteKind::Unreachable;
    BalancerInstance owner;
};

// Finds the owner of a key by the ownership records of all availability zones.
//
// A key whose owner can't be reached is refused as unknown, not as "not run": this balancer can't see whether an
// earlier try got through elsewhere. Tickets of a zone that can be reached never meet this.
class RequestRouter {
public:
    // The zones are the fixed list of the settings, the same on every balancer.
    RequestRouter(const BalancerInstance& self, std::vector<std::string> zones);

    // Keeps the newest record of each zone; returns whether this one is new.
    bool learnTerm(const ClaimTerm&);
    const ClaimTerm* termOf(const std::string& zone) const;

    Route route(const RequestKey&, const MembersView&) const;

    const std::vector<std::string>& zones() const { return zones_; }

private:
    BalancerInstance self_;
    std::vector<std::string> zones_;
    std::map<std::string, ClaimTerm> terms_;
};

}
