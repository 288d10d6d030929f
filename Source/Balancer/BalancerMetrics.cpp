#include "Balancer/BalancerMetrics.h"

#include <string>

namespace wisteriadock {

namespace {

    // Sets a counter to a total that never decreases.
    void raiseTo(prometheus::Counter& counter, double total)
    {
        const double step = total - counter.Value();
        if (step > 0)
            counter.Increment(step);
    }

    constexpr const char* packetsForwardedName = "wisteriadock_packets_forwarded_total";
    constexpr const char* packetsForwardedHelp = "Flow packets handed on, by kind of receiver";
    constexpr const char* channelBytesName = "wisteriadock_control_channel_bytes_total";
    constexpr const char* channelBytesHelp = "Control traffic sent and received, by channel";

}

BalancerMetrics::BalancerMetrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , packetsReceived_(addCounter("wisteriadock_packets_received_total", "Flow packets taken from the socket"))
    , packetsToBackendServers_(addCounter(packetsForwardedName, packetsForwardedHelp, { { "to", "backend_server" } }))
    , packetsToBalancers_(addCounter(packetsForwardedName, packetsForwardedHelp, { { "to", "balancer" } }))
    , newFlows_(addCounter("wisteriadock_new_flows_total", "Flows whose first packet was seen here"))
    , untrackedNewFlows_(
          addCounter("wisteriadock_untracked_new_flows_total", "New flows for which the table had no room"))
    , transitionsStarted_(addCounter("wisteriadock_transitions_started_total", "Changes of a service's table begun"))
    , transitionsSettled_(addCounter("wisteriadock_transitions_settled_total", "Changes of a service's table settled"))
    , transitionsForced_(
          addCounter("wisteriadock_transitions_forced_total", "Changes that went on without the report of a balancer"))
    , trackedFlows_(addGauge("wisteriadock_tracked_flows", "Flows in the table"))
    , exceptions_(addGauge("wisteriadock_flow_exceptions", "Flows that stay on a server other than their bucket's"))
    , unsettledServices_(addGauge("wisteriadock_unsettled_services", "Services whose table is changing"))
    , openRequests_(addGauge("wisteriadock_open_requests", "Requests being answered"))
    , queuedRequests_(addGauge("wisteriadock_queued_requests", "Requests that wait for a slot"))
    , claimsHeld_(addGauge("wisteriadock_claims_held", "Keys remembered as owner or backup"))
    , recoveringBuckets_(
          addGauge("wisteriadock_claim_buckets_recovering", "Owned buckets whose earlier claims are being looked for"))
    , lostBuckets_(addGauge("wisteriadock_claim_buckets_lost", "Owned buckets whose earlier claims are in doubt"))
    , recoveries_(addCounter("wisteriadock_claim_recoveries_total", "Times that earlier claims were looked for"))
    , controlBytes_(addCounter("wisteriadock_control_bytes_total", "Control traffic sent and received"))
    , peerBytes_(addCounter(channelBytesName, channelBytesHelp, { { "channel", "peers" } }))
    , platformBytes_(addCounter(channelBytesName, channelBytesHelp, { { "channel", "platform" } }))
    , configurationBytes_(addCounter(channelBytesName, channelBytesHelp, { { "channel", "configuration" } }))
    , requestBytes_(addCounter(channelBytesName, channelBytesHelp, { { "channel", "requests" } }))
    , malformedPeerMessages_(
          addCounter("wisteriadock_malformed_peer_messages_total", "Datagrams that were no message of a balancer"))
    , httpProtocolErrors_(
          addCounter("wisteriadock_http_protocol_errors_total", "Malformed or oversized HTTP/2 input of callers"))
    , configurationVersion_(addGauge("wisteriadock_configuration_version", "Version of the configuration in force"))
    , isolated_(addGauge("wisteriadock_isolated", "1 while this balancer hears from no other although it should"))
    , processCpuSeconds_(addCounter("process_cpu_seconds_total", "Processor time of all threads"))
    , controlThreadCpuSeconds_(
          addCounter("wisteriadock_control_thread_cpu_seconds_total", "Processor time of the control thread"))
{
    for (std::size_t i = 0; i < packetDropCount; ++i) {
        const std::string reason(nameOf(static_cast<PacketDrop>(i)));
        packetsDropped_[i] = &addCounter(
            "wisteriadock_packets_dropped_total", "Flow packets dropped, by reason", { { "reason", reason } });
    }
    for (std::size_t i = 0; i < requestOutcomeKindCount; ++i) {
        const std::string outcome(nameOf(static_cast<RequestOutcomeKind>(i)));
        requests_[i]
            = &addCounter("wisteriadock_requests_total", "Requests ended, by outcome", { { "outcome", outcome } });
    }
    for (std::size_t i = 0; i < memberStateCount; ++i) {
        const std::string state(nameOf(static_cast<MemberState>(i)));
        members_[i] = &addGauge(
            "wisteriadock_members", "Balancers known here, itself included, by state", { { "state", state } });
    }
}

void BalancerMetrics::update(const BalancerStatistics& statistics)
{
    updatePackets(statistics.packets);
    updateFlow(statistics.flow);
    if (statistics.members)
        updateMembers(*statistics.members);

    updateRequests(statistics);

    raiseTo(controlBytes_, static_cast<double>(statistics.controlBytes.sum()));
    raiseTo(peerBytes_, static_cast<double>(statistics.controlBytes.peers));
    raiseTo(platformBytes_, static_cast<double>(statistics.controlBytes.platform));
    raiseTo(configurationBytes_, static_cast<double>(statistics.controlBytes.configuration));
    raiseTo(requestBytes_, static_cast<double>(statistics.controlBytes.requests));
    raiseTo(malformedPeerMessages_, static_cast<double>(statistics.malformedPeerMessages));
    raiseTo(httpProtocolErrors_, static_cast<double>(statistics.httpProtocolErrors));

    configurationVersion_.Set(static_cast<double>(statistics.configurationVersion));
    raiseTo(processCpuSeconds_, statistics.processCpuSeconds);
    raiseTo(controlThreadCpuSeconds_, statistics.controlThreadCpuSeconds);
}

void BalancerMetrics::updateRequests(const BalancerStatistics& statistics)
{
    const RequestStatistics& control = statistics.control;
    for (std::size_t i = 0; i < requestOutcomeKindCount; ++i)
        raiseTo(*requests_[i], static_cast<double>(statistics.requests[i] + control.outcomes[i]));
    openRequests_.Set(static_cast<double>(statistics.openRequests));
    queuedRequests_.Set(static_cast<double>(control.queued));
    claimsHeld_.Set(static_cast<double>(control.claimsHeld));
    recoveringBuckets_.Set(static_cast<double>(control.bucketsRecovering));
    lostBuckets_.Set(static_cast<double>(control.bucketsLost));
    raiseTo(recoveries_, static_cast<double>(control.recoveries));
}

void BalancerMetrics::updatePackets(const PacketTotals& packets)
{
    raiseTo(packetsReceived_, static_cast<double>(packets.received));
    raiseTo(packetsToBackendServers_, static_cast<double>(packets.toBackendServer));
    raiseTo(packetsToBalancers_, static_cast<double>(packets.toBalancer));
    for (std::size_t i = 0; i < packetDropCount; ++i)
        raiseTo(*packetsDropped_[i], static_cast<double>(packets.dropped[i]));
}

void BalancerMetrics::updateFlow(const FlowCounters& flow)
{
    raiseTo(newFlows_, static_cast<double>(flow.newFlows));
    raiseTo(untrackedNewFlows_, static_cast<double>(flow.untrackedNewFlows));
    raiseTo(transitionsStarted_, static_cast<double>(flow.transitionsStarted));
    raiseTo(transitionsSettled_, static_cast<double>(flow.transitionsSettled));
    raiseTo(transitionsForced_, static_cast<double>(flow.transitionsForced));
    trackedFlows_.Set(static_cast<double>(flow.trackedFlows));
    exceptions_.Set(static_cast<double>(flow.exceptions));
    unsettledServices_.Set(static_cast<double>(flow.unsettledServices));
}

void BalancerMetrics::updateMembers(const MembersView& view)
{
    std::array<unsigned, memberStateCount> counts {};
    for (const Member& member : view.members)
        ++counts[static_cast<std::size_t>(member.state)];
    for (std::size_t i = 0; i < memberStateCount; ++i)
        members_[i]->Set(counts[i]);
    isolated_.Set(view.isolated ? 1 : 0);
}

prometheus::Counter& BalancerMetrics::addCounter(const char* name, const char* help, const prometheus::Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Gauge& BalancerMetrics::addGauge(const char* name, const char* help, const prometheus::Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
}

}
