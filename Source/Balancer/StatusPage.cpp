#include "Balancer/StatusPage.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

namespace {

    nlohmann::json describe(const Member& member)
    {
        return {
            { "name", member.name },
            { "availability_zone", member.availabilityZone },
            { "state", nameOf(member.state) },
            { "configuration_version", member.configurationVersion },
            { "incarnation", member.incarnation },
            { "peer_address", member.peerAddress.toString() },
            { "flow_address", member.flowAddress.toString() },
            { "request_address", member.requestAddress.toString() },
        };
    }

}

HttpResponse renderStatus(const MembersView& view, std::uint64_t configurationVersion)
{
    nlohmann::json members = nlohmann::json::array();
    for (const Member& member : view.members)
        members.push_back(describe(member));

    nlohmann::json status { { "configuration_version", configurationVersion }, { "isolated", view.isolated } };
    if (const Member* self = view.findSelf()) {
        status["name"] = self->name;
        status["availability_zone"] = self->availabilityZone;
        status["state"] = nameOf(self->state);
    }
    status["members"] = std::move(members);
    return { .status = 200, .headers = { { "content-type", "application/json" } }, .body = status.dump() };
}

}
