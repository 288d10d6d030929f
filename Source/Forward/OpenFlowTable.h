#pragma once

#include "Core/Clock.h"
#include "Forward/AnswerSizes.h"
#include "Forward/ForwardingConfiguration.h"
#include "Forward/RequestLoadMeter.h"
#include "Forward/ServerDirectory.h"
#include "Forward/TokenPacket.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// The state of one flow whose packets passed this balancer recently. It only informs the choice of servers: packets of
// open flows are routed by their token, even by a balancer that has never seen the flow.
struct FlowRecord {
    // The token of the flow's server; until the flow is open, of the server that got the latest opening packet.
    std::uint32_t token = 0;
    // The sequence number after the last byte that the caller sent, and the caller's highest acknowledgement.
    std::uint32_t sequenceEnd = 0;
    std::uint32_t acknowledged = 0;
    bool isOpen = false;
    // A request was sent, and no part of its answer has been acknowledged yet.
    bool isBusy = false;
    // The request in progress has already been counted as unanswered.
    bool isOverdue = false;
    TimePoint lastSeen;
    // When the opening packet was forwarded first and last.
    TimePoint openedAt;
    TimePoint lastAttemptAt;
    // When the request in progress was sent.
    TimePoint busySince;
    // When the caller last sent bytes that were not a retransmission.
    TimePoint lastNewBytes;
    // Tokens of servers that got earlier copies of the opening packet and did not answer, latest first; 0: none.
    std::array<std::uint32_t, 2> previousTokens {};
    // How many copies of the opening packet the caller had sent before the latest one.
    std::uint32_t copies = 0;
    // The class of the flow's requests in the meter of their load; none while the load is not measured. By the priority
    // of the flow's route when the flow was first seen.
    RequestLoadMeter::Cell loadCell = RequestLoadMeter::noCell;
    std::uint32_t priority = 0;
    // While the load is measured: a part of an answer was acknowledged, and more may follow.
    bool hasPartialAnswer = false;
    // The outcome of that answer has been counted.
    bool isOutcomeCounted = false;
    // The caller's acknowledgement before the answer.
    std::uint32_t answerStart = 0;
    Duration answerTime {};
    TimePoint lastAnswerPart;
};

// What a packet of an open flow shows about its server; for the log, the metrics and the server's liveness.
struct FlowProgress {
    // The caller acknowledged new data, so the server answers.
    bool hasAnswered = false;
    // The server had unanswered openings and now answers again.
    bool hasRecovered = false;
    // How long the flow took to open and a request to be answered, if the packet shows it.
    std::optional<Duration> openingTime;
    std::optional<Duration> answerTime;
    // The packet is the first of a request.
    bool beginsRequest = false;
    // The packet arrived out of order and may hold the head of the request that began just before.
    bool mayBeRequestHead = false;
    // The packet retransmits bytes that the caller sent before.
    bool isRetransmission = false;
};

// A server started to leave requests unanswered or answers again; for the log.
struct FailingChange {
    std::string server;
    std::string service;
    bool isFailing = false;
    // The share of its recent requests without an answer, 0 to 1.
    float share = 0;
};

// The flows whose packets passed this balancer recently. TokenRouter reports every forwarded packet to it. It maintains
// the ServerObservation of each server: its flow counters, unanswered openings and request outcomes.
class OpenFlowTable {
public:
    // Bounds the memory. Flows beyond this number are routed but not tracked.
    static constexpr std::size_t maxFlows = 200000;
    // An open flow without packets for this time no longer counts as load. Callers usually pause for about a second.
    static constexpr std::chrono::milliseconds activeTimeout { 3000 };
    // A flow that does not open is dropped after this time, which is longer than callers repeat opening packets.
    static constexpr std::chrono::milliseconds openingLifetime { 2000 };
    // A request without an answer after this time counts as unanswered.
    static constexpr std::chrono::milliseconds answerTimeout { 600 };
    // A server counts as failing from the first share of unanswered requests on, until it is below the second.
    static constexpr float failingThreshold = 0.3F;
    static constexpr float recoveryThreshold = 0.1F;
    // Old bytes that arrive within this time after new ones count as out of order, later ones as a retransmission.
    // Callers retransmit after 200 ms.
    static constexpr std::chrono::milliseconds reorderingWindow { 100 };

    // An answer is complete if no further part of it is acknowledged within this time. Callers delay acknowledgements
    // by up to 40 ms, and a lost part is sent again after 200 ms.
    static constexpr std::chrono::milliseconds answerCompletionTime { 300 };

    // The most bytes of one packet. Callers acknowledge every second packet at once and a single one after a delay.
    static constexpr std::uint32_t maxPacketBytes = 1200;

    explicit OpenFlowTable(ServerDirectory& directory)
        : directory_(directory)
    {
    }

    // Starts to measure the load of the requests. Flows have the priority of their route, so the routes must outlive
    // this table.
    // acknowledgementDelay: how long callers delay the acknowledgement of a single packet.
    void measureLoad(const RouteTable& routes, std::chrono::milliseconds acknowledgementDelay)
    {
        routes_ = &routes;
        acknowledgementDelay_ = acknowledgementDelay;
    }
    // Returns the load since the last call; see RequestLoadMeter::take().
    std::vector<ObservedLoad> takeObservedLoad(TimePoint now) { return loadMeter_.take(now); }

    // Returns null for a flow that is not tracked.
    FlowRecord* find(const FlowEnds&);
    // Records that an opening packet was sent to the server. copies: see FlowRecord.
    void noteAttempt(const FlowEnds&, KnownServer&, std::uint32_t copies, TimePoint now);
    // Updates the flow and its server from a packet of an open flow that is forwarded to the server.
    FlowProgress noteTraffic(const TokenPacket&, KnownServer&, TimePoint now);
    // Drops all flows of a server whose process has ended, so that they are not counted for its successor.
    void forgetFlowsOf(std::uint32_t token, TimePoint now);
    // Drops flows without recent packets. Returns the servers that started or stopped failing.
    std::vector<FailingChange> tick(TimePoint now);

    std::size_t size() const { return flows_.size(); }

private:
    FlowRecord* findOrAddOpen(const TokenPacket&, const KnownServer&, TimePoint now);
    void trackAcknowledgement(FlowRecord&, const TokenPacket&, FlowProgress&, TimePoint now);
    void trackSentBytes(FlowRecord&, const TokenPacket&, FlowProgress&, TimePoint now);
    // Adds the differences to the counters of the token's server.
    void adjustCounters(std::uint32_t token, int flows, int busy);
    void setBusy(FlowRecord&, bool, TimePoint now);
    void noteOutcome(FlowRecord&, bool isAnswered, TimePoint now);
    void uncount(FlowRecord&, TimePoint now);
    void notePriority(FlowRecord&, const FlowEnds&) const;
    // Assigns the flow to the server's class of requests. A request in progress moves with it.
    void setLoadCell(FlowRecord&, const KnownServer&, TimePoint now);
    void countLoad(const FlowRecord&, RequestOutcome, Duration answerTime = {});
    // A part of the answer was acknowledged. Counts the request as served once the answer is too long for a rejection.
    void discountDelay(const FlowRecord&, Duration answerTime);
    void trackAnswer(FlowRecord&, Endpoint route, TimePoint now);
    // The answer is complete: tells by its size whether it served the request.
    void completeAnswer(FlowRecord&, Endpoint route);
    std::vector<FailingChange> updateFailingServers(TimePoint now);

    ServerDirectory& directory_;
    // Null while the load is not measured.
    const RouteTable* routes_ = nullptr;
    std::chrono::milliseconds acknowledgementDelay_ { 0 };
    RequestLoadMeter loadMeter_;
    // By the address of the route.
    absl::flat_hash_map<Endpoint, AnswerSizes> answerSizes_;
    absl::flat_hash_map<FlowEnds, FlowRecord> flows_;
    // Tokens of the servers whose outcomes were noted lately. Only these can start or stop failing.
    absl::flat_hash_set<std::uint32_t> observed_;
};

}
