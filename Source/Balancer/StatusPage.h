#pragma once

#include "Membership/Member.h"
#include "Net/HttpMessage.h"

#include <cstdint>

namespace wisteriadock {

// The answer to GET /status: this balancer as it sees itself and the members that it knows, as JSON.
HttpResponse renderStatus(const MembersView&, std::uint64_t configurationVersion);

}
