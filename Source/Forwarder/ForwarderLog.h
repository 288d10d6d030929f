#pragma once

#include "Core/EventLog.h"
#include "Forward/TokenRouter.h"
#include "StoreSync/ReplicaSync.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A version of the configuration that was received and parsed.
struct ReceivedConfiguration {
    std::uint64_t version = 0;
    std::size_t routes = 0;
    // Routes that were added, changed or removed.
    std::size_t changedRoutes = 0;
    std::uint64_t revision = 0;
    // False for a version that is not newer than the one in force, which stays.
    bool isApplied = false;
    // Time since a balancer read it from the store; zero when this balancer did.
    std::chrono::milliseconds age { 0 };
    // Time that parsing and applying took.
    Duration applyTime {};
};

// Writes the forwarder's log lines, one function for each kind of event (docs/OPERATIONS.md lists them). A flow is
// logged as the addresses and ports of its two ends, "CALLER>ROUTE", so that it can be found in packet captures.
class ForwarderLog {
public:
    // An answer that takes longer is logged. Callers want most answers within 250 to 500 ms.
    static constexpr std::chrono::milliseconds slowAnswerThreshold { 250 };
    // More transitions of one kind are logged in one line, since a listing of hundreds of servers would displace
    // others.
    static constexpr std::size_t maxSeparateLines = 16;

    explicit ForwarderLog(EventLog& log)
        : log_(log)
    {
    }

    // The decision on a packet, and its inputs. Forwarded packets of open flows are logged at level debug only.
    void packet(const TokenPacket&, const PacketDecision&, std::string_view requestId,
        std::uint64_t configurationVersion, std::uint64_t revision, TimePoint now);
    // What a packet of an open flow shows: a new request, a retransmission, or a late answer to the request before.
    void progress(const TokenPacket&, const PacketDecision&, std::string_view requestId, TimePoint now);
    void malformed(std::size_t bytes, const Endpoint& sender, TimePoint now);
    // State changes of servers; many of one kind are logged in one line. source: "store", "time" or the name of the
    // balancer that sent the update.
    void transitions(
        const ServerDirectory::Transitions&, std::uint64_t revision, const std::string& source, TimePoint now);
    void configuration(const ReceivedConfiguration&, const ReplicaChanged&, TimePoint now);
    // The value at this key could not be read, and was ignored.
    void rejectedUpdate(const std::string& key, const Error&, TimePoint now);
    // Entries of servers that contradict what is known, or may come from another writer.
    void entryConflicts(const std::vector<EntryConflict>&, TimePoint now);
    void updates(const ReplicaChanged&, TimePoint now);
    void ejected(const KnownServer&, TimePoint now);
    void recovered(const KnownServer&, TimePoint now);
    // What the router has concluded of servers, groups and zones since the last call.
    void changes(TokenRouter&, TimePoint now);
    // age: time since a balancer read the order, or its removal, from the store.
    void zoneEvacuation(
        const ZoneEvacuationChange&, std::chrono::milliseconds age, const std::string& source, TimePoint now);

    EventLog& events() { return log_; }

private:
    void failingChange(const FailingChange&, TimePoint now);
    void spillover(const SpilloverChange&, TimePoint now);
    void shedLevel(const ShedLevelChange&, TimePoint now);
    void zoneReachability(const ZoneReachabilityChange&, TimePoint now);
    void groupLiveness(const GroupLivenessChange&, TimePoint now);
    void transition(const ServerTransition&, std::uint64_t revision, const std::string& source, TimePoint now);
    void transitionSummary(
        const std::vector<const ServerTransition*>&, std::uint64_t revision, const std::string& source, TimePoint now);

    EventLog& log_;
};

// For example "192.0.2.7:40001>198.51.100.1:443".
std::string flowName(const FlowEnds&);

}
