#pragma once

#include "Membership/Member.h"
#include "Net/HttpMessage.h"

#include <cstdint>

namespace wisteriadock {

// The response to GET /status: this balancer's own state and the members that it knows, as JSON.
HttpResponse renderStatus(const MembersView&, std::uint64_t configurationVersion);

}
