#pragma once

#include "Core/Clock.h"
#include "Forward/EvacuatedZones.h"
#include "Forward/ForwardingConfiguration.h"
#include "Forward/OpenFlowTable.h"
#include "Forward/OpeningAdmission.h"
#include "Forward/OpeningPolicy.h"
#include "Forward/OverloadControl.h"
#include "Forward/ServerDirectory.h"
#include "Forward/ServiceLoad.h"
#include "Forward/TokenPacket.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// What the forwarder does with a packet.
enum class PacketVerdict {
    Forward, // Send it to the server of the decision, with that server's token.
    Reset, // Answer the caller with a reset.
    Drop,
};

// The reason of a decision. Each reason has a counter and a name in the log.
enum class PacketReason {
    Opened, // A server was chosen for a new flow.
    OpenedAgain, // A copy of an opening packet goes to the same server as before.
    OpenedElsewhere, // A copy goes to another server, since the former one is unresponsive or takes no new flows.
    Established, // A packet of an open flow, found by its token.
    ServerEnded, // The process of the flow's server has certainly ended.
    Overloaded, // Admission control refused the new flow; see OpeningAdmission.
    PriorityShed, // A less urgent new flow was refused, since the servers have no room; see PriorityAdmission.
    NoServer, // The route's service has no server that takes new flows.
    ColdServersFull, // All servers for the flow are cold, and this balancer may send them no more new flows now.
    ZonesEvacuated, // All servers for the flow are in evacuated zones.
    NoRoute, // No route has the destination address.
    NoConfiguration, // This balancer has no configuration yet.
    TokenMissing, // A packet of an open flow without a token.
    TokenUnknown, // No known server has the token.
    ForeignAnswer, // An answer to an opening packet, which only servers send, and only to callers.
};

inline constexpr std::size_t packetVerdicts = 3;
inline constexpr std::size_t packetReasons = 15;

std::string_view nameOf(PacketVerdict);
std::string_view nameOf(PacketReason);

// The result of routing one packet; for the forwarder, its log and its metrics.
struct PacketDecision {
    PacketVerdict verdict = PacketVerdict::Drop;
    PacketReason reason = PacketReason::NoConfiguration;
    // The server of the flow, or null. Valid until the directory changes.
    const KnownServer* server = nullptr;
    // The service of a new flow, or null.
    const std::string* service = nullptr;
    // Details of the decision on an opening packet.
    OpeningChoice choice;
    Admission admission;
    // How many copies of the opening packet the caller had sent before.
    std::uint32_t copies = 0;
    FlowProgress progress;
};

struct RouterSettings {
    // The zone of this balancer.
    std::string availabilityZone;
    OpeningSettings opening;
    ColdStartSettings coldStart;
    AdmissionSettings admission;
    DirectorySettings directory;
    OverloadSettings overload;
    // See PriorityAdmission.
    Duration wallClockOffset {};
    // Number of a caller's last copy of an opening packet; the original has number 0. The caller gives up after it.
    std::uint32_t lastCopy = 2;
    // Whether takeObservedLoad() shall return anything. Costs a look-up of the route for each flow.
    bool measuresLoad = false;
    // See OpenFlowTable::measureLoad().
    std::chrono::milliseconds acknowledgementDelay { 0 };
};

// Decides for each packet of a flow whether and to which backend server it is forwarded: packets of open flows by their
// token, opening packets by OpeningPolicy. It needs no state of other balancers: any balancer with the same directory
// can route any packet of any flow. The forwarder calls it, from one thread only.
class TokenRouter {
public:
    explicit TokenRouter(RouterSettings);
    TokenRouter(const TokenRouter&) = delete;
    TokenRouter& operator=(const TokenRouter&) = delete;

    // Returns false and changes nothing if the version is not newer than the current one.
    bool applyConfiguration(const ForwardingConfiguration&);
    // Applies a difference to the current version or a complete configuration. Returns as above.
    bool applyConfiguration(ConfigurationChange&&);
    // See put(), invalidate() and remove() of ServerDirectory.
    ServerDirectory::Transitions putServer(
        const RegisteredServer&, std::uint64_t revision, TimePoint now, EntryAge = EntryAge::Newest);
    ServerDirectory::Transitions invalidateServer(const std::string& id, std::uint64_t revision, TimePoint now);
    ServerDirectory::Transitions removeServer(const std::string& id, bool isUncertain, TimePoint now);
    // Evacuates a zone or revokes its evacuation. Returns nothing if the zone was in that state already.
    std::optional<ZoneEvacuationChange> setZoneEvacuation(
        const std::string& availabilityZone, bool isEvacuated, std::uint64_t revision, TimePoint now)
    {
        return evacuatedZones_.set(availabilityZone, isEvacuated, revision, now);
    }
    // Judges again the server entries that were held, as after a configuration that names their services.
    ServerDirectory::Transitions reviewEntries(TimePoint now);
    // As setZoneEvacuation(), for an update that shows the content of a restored store: takes effect later, unless
    // another one arrives until then. See takeEvacuationChanges().
    void setZoneEvacuationInDoubt(
        const std::string& availabilityZone, bool isEvacuated, std::uint64_t revision, TimePoint now)
    {
        evacuatedZones_.setLater(availabilityZone, isEvacuated, revision, now + settings_.directory.minDoubtfulTime);
    }
    // See ServerDirectory::noteStoreContact().
    void noteStoreContact(TimePoint at) { directory_.noteStoreContact(at); }
    // See ColdStartLimiter::setBalancers().
    void setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now)
    {
        policy_.setBalancers(self, std::move(ids), isSettled, now);
    }
    // Sets what is known of the load of a service. Must be called a few times per second while anything is known.
    void setServiceLoad(const std::string& service, ServiceLoad load) { overload_.setLoad(service, std::move(load)); }
    // Returns null for a service whose load is unknown.
    const ServiceLoad* findServiceLoad(const std::string& service) const { return overload_.findLoad(service); }
    // Returns the load that passed this balancer since the last call; see RequestLoadMeter::take().
    std::vector<ObservedLoad> takeObservedLoad(TimePoint now) { return flows_.takeObservedLoad(now); }
    // Handles timeouts. Must be called a few times per second.
    ServerDirectory::Transitions tick(TimePoint now);

    PacketDecision route(const TokenPacket&, TimePoint now);
    // While this is set, the packets have waited for the start of the process. Callers may have given up their
    // openings, so an unanswered one says nothing about its server.
    void setPacketsHaveWaited(bool havePacketsWaited) { havePacketsWaited_ = havePacketsWaited; }

    // Returns the changes of other zones' reachability since the last call.
    std::vector<ZoneReachabilityChange> takeZoneChanges() { return policy_.takeZoneChanges(); }
    // Returns the groups of servers that were ejected or have recovered since the last call.
    std::vector<GroupLivenessChange> takeGroupChanges() { return policy_.takeGroupChanges(); }
    // Returns the evacuations and revocations that took effect with the time since the last call.
    std::vector<ZoneEvacuationChange> takeEvacuationChanges() { return std::exchange(evacuationChanges_, {}); }
    // Returns the servers that started or stopped failing since the last call.
    std::vector<FailingChange> takeFailingChanges() { return std::exchange(failingChanges_, {}); }
    // Return the changes of spillover and of admission by priority since the last call.
    std::vector<SpilloverChange> takeSpilloverChanges() { return overload_.takeSpilloverChanges(); }
    std::vector<ShedLevelChange> takeShedLevelChanges() { return overload_.takeShedLevelChanges(); }
    const OverloadControl& overload() const { return overload_; }
    // 0 before the first configuration.
    std::uint64_t configurationVersion() const { return version_; }
    ServerDirectory& directory() { return directory_; }
    const ServerDirectory& directory() const { return directory_; }
    const OpenFlowTable& flows() const { return flows_; }
    const EvacuatedZones& evacuatedZones() const { return evacuatedZones_; }
    std::size_t routes() const { return routes_.size(); }

private:
    // Flows of a former process are no longer tracked.
    ServerDirectory::Transitions forgetFlowsOfFormerProcesses(ServerDirectory::Transitions&&, TimePoint now);
    PacketDecision routeOpening(const TokenPacket&, TimePoint now);
    PacketDecision routeEstablished(const TokenPacket&, TimePoint now);
    // Routes a packet of an open flow whose server is not in the directory.
    PacketDecision routeToUnnamed(const TokenPacket&) const;
    Admission admit(const FlowRoute&, const std::string& service, const FlowEnds&, TimePoint now) const;
    PacketDecision refuse(const TokenPacket&, PacketReason) const;
    PacketDecision refuseChoice(const TokenPacket&, const OpeningChoice&, const FlowRecord* previous) const;
    bool isOfFormerProcess(const TokenPacket&, const KnownServer&) const;
    // Returns the server that a copy of an opening packet must go to again, or null if a server is to be chosen.
    KnownServer* previousServerFor(const FlowRecord* previous, const std::string& service, TimePoint now);

    RouterSettings settings_;
    OpeningLatency openingLatency_;
    OpeningAdmission admission_;
    OverloadControl overload_;
    OpeningPolicy policy_;
    ServerDirectory directory_;
    EvacuatedZones evacuatedZones_;
    OpenFlowTable flows_;
    std::vector<FailingChange> failingChanges_;
    std::vector<ZoneEvacuationChange> evacuationChanges_;
    RouteTable routes_;
    std::uint64_t version_ = 0;
    bool havePacketsWaited_ = false;
};

}
