#pragma once

#include "Core/Clock.h"
#include "Forward/EvacuatedZones.h"
#include "Forward/ForwardingConfiguration.h"
#include "Forward/OpenFlowTable.h"
#include "Forward/OpeningAdmission.h"
#include "Forward/OpeningPolicy.h"
#include "Forward/ServerDirectory.h"
#include "Forward/TokenPacket.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// What to do with a packet.
enum class PacketVerdict {
    Forward, // To the server, as it is, under the token of the decision.
    Reset, // Answer the caller with a reset.
    Drop,
};

// Why. Each reason has a counter of its own, and the log names it.
enum class PacketReason {
    Opened, // A new flow got its server.
    OpenedAgain, // A copy of an opening packet goes where the former one went.
    OpenedElsewhere, // A copy goes to another server, since the former one is silent or takes no flows any more.
    Established, // A packet of an open flow, found by its token.
    ServerEnded, // The flow's server is certainly over.
    Overloaded, // All servers of the service have long queues, so the flow would be served late.
    NoServer, // The route's service has no server that takes flows.
    ColdServersFull, // All servers that could take the flow are cold, and this balancer's share of them is used up.
    ZonesEvacuated, // All servers that could take the flow are in zones that operators ordered to be evacuated.
    NoRoute, // No route has the address.
    NoConfiguration, // This balancer does not know the routes yet.
    TokenMissing, // Not an opening packet, and without a token.
    TokenUnknown, // A token that nobody here knows; it is never guessed.
    ForeignAnswer, // An answer to an opening, which only servers send, and never to servers.
};

inline constexpr std::size_t packetVerdicts = 3;
inline constexpr std::size_t packetReasons = 14;

std::string_view nameOf(PacketVerdict);
std::string_view nameOf(PacketReason);

struct PacketDecision {
    PacketVerdict verdict = PacketVerdict::Drop;
    PacketReason reason = PacketReason::NoConfiguration;
    // The server that the packet is for, or null. Valid until the directory changes.
    const KnownServer* server = nullptr;
    // The service of a new flow, or null.
    const std::string* service = nullptr;
    // What decided an opening.
    OpeningChoice choice;
    Admission admission;
    // How often this caller has sent the opening packet before.
    std::uint32_t copies = 0;
    FlowProgress progress;
};

struct RouterSettings {
    std::string availabilityZone;
    OpeningSettings opening;
    ColdStartSettings coldStart;
    AdmissionSettings admission;
    DirectorySettings directory;
    // The caller's copy of an opening packet that is the last one; after it, the caller gives up.
    std::uint32_t lastCopy = 2;
};

// Routes packets by their return token, and new flows by the opening policy. It needs no arbiter and no state that
// another balancer holds: any balancer that knows the directory routes any packet of any flow. One thread calls it.
class TokenRouter {
public:
    explicit TokenRouter(RouterSettings);
    TokenRouter(const TokenRouter&) = delete;
    TokenRouter& operator=(const TokenRouter&) = delete;

    // False for a version that is not newer than the one held: versions never go back.
    bool applyConfiguration(const ForwardingConfiguration&);
    // A change against the version that is held, or a whole configuration.
    bool applyConfiguration(ConfigurationChange&&);
    ServerDirectory::Transitions putServer(const RegisteredServer&, std::uint64_t revision, TimePoint now);
    ServerDirectory::Transitions invalidateServer(const std::string& id, std::uint64_t revision, TimePoint now);
    ServerDirectory::Transitions removeServer(const std::string& id, bool isUncertain, TimePoint now);
    // Operators ordered that new flows go to no server of the zone, or took the order back. Nothing when that is known.
    std::optional<ZoneEvacuationChange> setZoneEvacuation(
        const std::string& availabilityZone, bool isEvacuated, std::uint64_t revision, TimePoint now)
    {
        return evacuatedZones_.set(availabilityZone, isEvacuated, revision, now);
    }
    // The store told what is certain, at this time.
    void noteStoreContact(TimePoint at) { directory_.noteStoreContact(at); }
    // The balancers of the own zone that are alive; see ColdStartLimiter.
    void setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now)
    {
        policy_.setBalancers(self, std::move(ids), isSettled, now);
    }
    // Call it a few times a second while there are flows or servers in doubt.
    ServerDirectory::Transitions tick(TimePoint now);

    PacketDecision route(const TokenPacket&, TimePoint now);

    // Other zones that went silent, or are back, since the last call; for the log.
    std::vector<ZoneReachabilityChange> takeZoneChanges() { return policy_.takeZoneChanges(); }
    // Servers that fell silent together, or are back, since the last call.
    std::vector<GroupLivenessChange> takeGroupChanges() { return policy_.takeGroupChanges(); }
    // Servers that began to leave requests unanswered, or stopped, since the last call.
    std::vector<FailingChange> takeFailingChanges() { return std::exchange(failingChanges_, {}); }
    // 0 before the first configuration.
    std::uint64_t configurationVersion() const { return version_; }
    ServerDirectory& directory() { return directory_; }
    const ServerDirectory& directory() const { return directory_; }
    const OpenFlowTable& flows() const { return flows_; }
    const EvacuatedZones& evacuatedZones() const { return evacuatedZones_; }
    std::size_t routes() const { return routes_.size(); }

private:
    PacketDecision routeOpening(const TokenPacket&, TimePoint now);
    PacketDecision routeEstablished(const TokenPacket&, TimePoint now);
    PacketDecision refuse(const TokenPacket&, PacketReason) const;
    PacketDecision refuseChoice(const TokenPacket&, const OpeningChoice&, const FlowRecord* former) const;
    bool isOfFormerProcess(const TokenPacket&, const KnownServer&) const;
    // The server that a copy of an opening packet shall go to again, or null for another choice.
    KnownServer* formerServerFor(const FlowRecord*, const std::string& service, TimePoint now);

    RouterSettings settings_;
    OpeningLatency openingLatency_;
    OpeningAdmission admission_;
    OpeningPolicy policy_;
    ServerDirectory directory_;
    EvacuatedZones evacuatedZones_;
    OpenFlowTable flows_;
    std::vector<FailingChange> failingChanges_;
    RouteTable routes_;
    std::uint64_t version_ = 0;
};

}
