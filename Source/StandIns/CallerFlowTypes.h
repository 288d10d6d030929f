#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "StandIns/FlowPayload.h"
#include "Wire/ProxyHeader.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A service that the simulated callers use.
struct CallerService {
    std::string name;
    ServiceId id;
    Endpoint address;
    // Its share of the flows relative to the other services.
    double share = 1;

    // Parses "NAME@ADDRESS@SHARE". Fails with InvalidArgument; the detail names the text and what was expected.
    static Result<CallerService> parse(std::string_view text);
};

// The flows that CallerFlows generates. Shares are from 0 to 1.
struct CallerFlowOptions {
    std::uint64_t seed = 1;
    std::vector<CallerService> services;
    double flowsPerSecond = 100;
    // No flow is opened after this time. Flows that are still open continue until CallerFlows::stop().
    Duration runTime = std::chrono::seconds(10);

    // Lifetimes follow a Pareto distribution from minLifetime up; a smaller exponent makes the tail heavier.
    Duration minLifetime = std::chrono::seconds(1);
    double lifetimeExponent = 1.2;
    // The share of flows that last until the end of the run.
    double longLivedShare = 0.05;

    Duration packetInterval = std::chrono::milliseconds(100);
    // Each interval is uniformly distributed between (1 - jitter) and (1 + jitter) times its mean.
    double jitter = 0.5;
    // The share of flows that pause for idleTime between bursts.
    double idleShare = 0.1;
    Duration idleTime = std::chrono::seconds(2);

    // The share of flows whose first packet has the start mark (see FlowPayload).
    double startMarkShare = 0;
    Duration openingRetryInterval = std::chrono::milliseconds(200);
    // A flow ends as not established after this number of unanswered opening packets.
    std::uint16_t openingAttempts = 50;
    // An established flow with this number of consecutive unanswered packets counts as stalled.
    std::uint16_t maxUnansweredPackets = 8;

    std::size_t maxOpenFlows = 400'000;
    std::size_t maxBreaks = 10'000;
};

// A packet that is to be sent now.
struct CallerPacket {
    ProxyHeader header;
    FlowPayload payload;
};

// How a flow was detected as broken.
enum class FlowBreakKind {
    UnknownFlow, // The answering server does not have the flow.
    ChangedServer, // Another server accepted a packet of the flow.
    WrongService, // A server of another service received a packet.
    Stalled, // No server answers any more.
};

std::string_view nameOf(FlowBreakKind);

struct FlowBreak {
    TimePoint at;
    std::uint64_t flow = 0;
    FlowBreakKind kind = FlowBreakKind::UnknownFlow;
    std::uint32_t sequence = 0;
    ServiceId service;
    // The server on which the flow was established, and the one that answered; the latter is unset for a stalled flow.
    BackendServerId expectedServer;
    BackendServerId answeringServer;
};

struct CallerFlowCounts {
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsEstablished = 0;
    // Flows that ended after openingAttempts unanswered opening packets.
    std::uint64_t flowsNotEstablished = 0;
    std::uint64_t flowsEnded = 0;
    // Broken flows, including stalled ones.
    std::uint64_t flowsBroken = 0;
    std::uint64_t flowsStalled = 0;
    // Flows not opened because of maxOpenFlows.
    std::uint64_t flowsSkipped = 0;
    std::uint64_t wrongServicePackets = 0;
    // Opening packets answered by a second server; the flow stays with the server that answered first.
    std::uint64_t openingsAtOtherServers = 0;
    std::uint64_t packetsSent = 0;
    std::uint64_t replies = 0;
    // Replies to flows that have ended or are unknown.
    std::uint64_t lateReplies = 0;
};

}
