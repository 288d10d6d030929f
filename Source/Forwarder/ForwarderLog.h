#pragma once

#include "Core/EventLog.h"
#include "Forward/TokenRouter.h"
#include "News/ReplicaSync.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A version of the configuration that came and was read.
struct ReceivedConfiguration {
    std::uint64_t version = 0;
    std::size_t routes = 0;
    // Routes that were new, changed or gone.
    std::size_t changedRoutes = 0;
    std::uint64_t revision = 0;
    // False for a version that is not newer than the one in force.
    bool isApplied = false;
    // How long ago a balancer had it from the store. Zero when this one had it from there itself.
    std::chrono::milliseconds age { 0 };
    // From its bytes to its being in force.
    Duration applyTime {};
};

// The forwarder's log lines, one function for each kind of event (docs/OPERATIONS.md lists them). A flow is named by
// the addresses and ports of its two ends, "CALLER>ROUTE", which callers and packet captures show too.
class ForwarderLog {
public:
    // An answer that takes longer than this is logged. The users want most answers within 250 to 500 ms.
    static constexpr std::chrono::milliseconds slowAnswerThreshold { 250 };
    static constexpr std::size_t maxSeparateLines = 16;

    explicit ForwarderLog(EventLog& log)
        : log_(log)
    {
    }

    // Says what was decided for a packet and by which inputs. Packets of open flows that went their way are only
    // logged at the level debug.
    void packet(const TokenPacket&, const PacketDecision&, std::string_view requestId,
        std::uint64_t configurationVersion, std::uint64_t revision, TimePoint now);
    // What a packet of an open flow showed: a request that begins, one that is repeated, an answer that came late.
    void progress(const TokenPacket&, const PacketDecision&, std::string_view requestId, TimePoint now);
    void malformed(std::size_t bytes, const Endpoint& sender, TimePoint now);
    // What one piece of news, or the passing of time, changed. Changes of a kind that befell more servers than
    // maxSeparateLines are told in one line: a listing names hundreds of servers, and what matters would go with them.
    void transitions(
        const ServerDirectory::Transitions&, std::uint64_t revision, const std::string& source, TimePoint now);
    void configuration(const ReceivedConfiguration&, const ReplicaChanged&, TimePoint now);
    void rejectedUpdate(const std::string& key, const Error&, TimePoint now);
    void updates(const ReplicaChanged&, TimePoint now);
    void ejected(const KnownServer&, TimePoint now);
    void recovered(const KnownServer&, TimePoint now);
    void failingChange(const FailingChange&, TimePoint now);
    void zoneReachability(const ZoneReachabilityChange&, TimePoint now);
    void groupLiveness(const GroupLivenessChange&, TimePoint now);
    // age: how long ago a balancer had the order, or its end, from the store.
    void zoneEvacuation(
        const ZoneEvacuationChange&, std::chrono::milliseconds age, const std::string& source, TimePoint now);

    EventLog& events() { return log_; }

private:
    void transition(const ServerTransition&, std::uint64_t revision, const std::string& source, TimePoint now);
    void transitionSummary(
        const std::vector<const ServerTransition*>&, std::uint64_t revision, const std::string& source, TimePoint now);

    EventLog& log_;
};

// "192.0.2.7:40001>198.51.100.1:443".
std::string flowName(const FlowEnds&);

}
