#pragma once

#include "Core/Clock.h"
#include "Forward/ServerDirectory.h"
#include "Forward/TokenPacket.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// What this balancer remembers of one flow whose packets it saw lately. It only improves choices: a packet of an open
// flow is routed by its token, also by a balancer that has never seen the flow.
struct FlowRecord {
    // The server's token; of an opening flow, that of the server tried last.
    std::uint32_t token = 0;
    // One behind the last byte that the caller sent, and the last one that it acknowledged.
    std::uint32_t sequenceEnd = 0;
    std::uint32_t acknowledged = 0;
    bool isOpen = false;
    // A request was sent and nothing of its answer acknowledged yet.
    bool isBusy = false;
    // The request in progress counts as unanswered already.
    bool isOverdue = false;
    TimePoint lastSeen;
    // When the opening packet was forwarded first and last, or the request in progress was sent.
    TimePoint openedAt;
    TimePoint lastAttemptAt;
    TimePoint busySince;
    // When bytes came that the caller had not sent before.
    TimePoint lastNewBytes;
    // Servers that were tried and did not answer, latest first; 0 for none.
    std::array<std::uint32_t, 2> previousTokens {};
    // What the opening packet was logged as, so that the end of the flow can be found by it.
    std::uint32_t copies = 0;
};

// What a packet of an open flow told about its server.
struct FlowProgress {
    // The caller acknowledged something new, so the server answers.
    bool hasAnswered = false;
    // It had been left out as silent.
    bool hasRecovered = false;
    // How long the flow took to open, or a request to be answered, when the packet shows that.
    std::optional<Duration> openingTime;
    std::optional<Duration> answerTime;
    // The packet begins a request.
    bool beginsRequest = false;
    // It may be the head of the request that began just before, since the network changes the order of packets.
    bool mayBeRequestHead = false;
    // It repeats bytes that the caller sent long enough before to have missed an acknowledgement.
    bool isRetransmission = false;
};

// A server began to leave requests unanswered, or answers again.
struct FailingChange {
    std::string server;
    std::string service;
    bool isFailing = false;
    float share = 0;
};

// The flows that this balancer saw lately, and how many of them each server has. All counters of ServerObservation that
// stem from flows are kept here.
class OpenFlowTable {
public:
    // Memories over this number are not made; the flows are served without. About 130 bytes each.
    static constexpr std::size_t limit = 200000;
    // A flow that sent nothing for so long no longer counts as load: callers pause for about a second.
    static constexpr std::chrono::milliseconds activeTimeout { 3000 };
    // An opening that led nowhere is over after the caller's last copy and a little more.
    static constexpr std::chrono::milliseconds openingLifetime { 2000 };
    // A request that has no answer by then counts against its server: the users' callers have given up most of them.
    static constexpr std::chrono::milliseconds answerTimeout { 600 };
    // A server that leaves this share of its requests unanswered is told as failing, until it is below the second.
    static constexpr float failingThreshold = 0.3F;
    static constexpr float recoveryThreshold = 0.1F;
    // Packets of one request that come out of order are closer together; callers repeat bytes after 200 ms.
    static constexpr std::chrono::milliseconds reorderingWindow { 100 };

    explicit OpenFlowTable(ServerDirectory& directory)
        : directory_(directory)
    {
    }

    FlowRecord* find(const FlowEnds&);
    // Remembers that the opening packet went to this server.
    void noteAttempt(const FlowEnds&, KnownServer&, std::uint32_t copies, TimePoint now);
    // Learns from a packet of an open flow that is on its way to this server.
    FlowProgress noteTraffic(const TokenPacket&, KnownServer&, TimePoint now);
    // The server's process ended, and with it its flows. What another process does under its token is a new matter.
    void forgetFlowsOf(std::uint32_t token);
    // Forgets flows that were silent for long. Tells which servers began to leave requests unanswered, or stopped.
    std::vector<FailingChange> tick(TimePoint now);

    std::size_t size() const { return flows_.size(); }

private:
    FlowRecord* rememberOpen(const TokenPacket&, const KnownServer&);
    // What the caller's acknowledgement says of the server, and what its bytes say of the caller.
    void learnAnswer(FlowRecord&, const TokenPacket&, FlowProgress&, TimePoint now);
    void learnSent(FlowRecord&, const TokenPacket&, FlowProgress&, TimePoint now);
    void count(std::uint32_t token, int flows, int busy);
    void setBusy(FlowRecord&, bool, TimePoint now);
    void noteOutcome(FlowRecord&, bool isAnswered, TimePoint now);
    void forget(FlowRecord&);
    std::vector<FailingChange> reviewOutcomes(TimePoint now);

    ServerDirectory& directory_;
    absl::flat_hash_map<FlowEnds, FlowRecord> flows_;
};

}
