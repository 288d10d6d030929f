#pragma once

#include "Membership/Member.h"
#include "Request/ClaimTerm.h"
#include "Request/RequestKey.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// The destination of a keyed request.
enum class AttemptRouteKind {
    Local, // This balancer owns the key: pass it to the RequestRunner.
    Forward, // To the owner, over its request address.
    Unreachable, // No owner of the key can be reached: refuse at once as unknown.
};

struct Route {
    AttemptRouteKind kind = AttemptRouteKind::Unreachable;
    BalancerInstance owner;
};

// Finds the owner of a key from the ownership records of all availability zones.
//
// A key whose owner is unreachable is refused as unknown, not as "not run": this balancer can't see whether an earlier
// attempt reached the owner by another way.
class RequestRouter {
public:
    // The zones are the fixed list of the settings, identical on every balancer.
    RequestRouter(const BalancerInstance& self, std::vector<std::string> zones);

    // Keeps the newest record of each zone; returns whether this one is newer than the known one.
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
