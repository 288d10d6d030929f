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

// A service that callers use.
struct CallerService {
    std::string name;
    ServiceId id;
    Endpoint address;
    // Its share of the flows and requests relative to the other services.
    double share = 1;

    // Reads "NAME@ADDRESS@SHARE". Fails with InvalidArgument; the detail names the text and what was expected.
    static Result<CallerService> parse(std::string_view text);
};

// How the synthetic customers behave.
struct CallerFlowOptions {
    std::uint64_t seed = 1;
    std::vector<CallerService> services;
    double flowsPerSecond = 100;
    // After this long no flow is opened and those still open go on until the run stops.
    Duration runTime = std::chrono::seconds(10);

    // Lifetimes follow a Pareto distribution; a smaller exponent makes the tail heavier.
    Duration minLifetime = std::chrono::seconds(1);
    double lifetimeExponent = 1.2;
    // The share of flows that last the whole run.
    double longLivedShare = 0.05;

    Duration packetInterval = std::chrono::milliseconds(100);
    // Each interval is drawn between (1 - jitter) and (1 + jitter) of packetInterval.
    double jitter = 0.5;
    // The share of flows that fall silent for idleTime between bursts.
    double idleShare = 0.1;
    Duration idleTime = std::chrono::seconds(2);

    // The share of flows whose format shows their first packet.
    double startMarkShare = 0;
    Duration openingRetryInterval = std::chrono::milliseconds(200);
    // A flow that was never answered is given up after so many opening packets.
    std::uint16_t openingAttempts = 50;
    // An established flow with so many packets unanswered in a row is stalled.
    std::uint16_t maxUnansweredPackets = 8;

    std::size_t maxOpenFlows = 400'000;
    std::size_t maxBreaks = 10'000;
};

struct CallerPacket {
    ProxyHeader header;
    FlowPayload payload;
};

// What showed that a flow is broken.
enum class FlowBreakKind {
    UnknownFlow, // A server that does not hold the flow reset it.
    ChangedServer, // Another server answered as if the flow were its own.
    WrongService, // A server of another service got a packet.
    Stalled, // Nobody answered any more.
};

std::string_view nameOf(FlowBreakKind);

struct FlowBreak {
    TimePoint at;
    std::uint64_t flow = 0;
    FlowBreakKind kind = FlowBreakKind::UnknownFlow;
    std::uint32_t sequence = 0;
    ServiceId service;
    // The server that held the flow, and the one that answered instead.
    BackendServerId expectedServer;
    BackendServerId answeringServer;
};

struct CallerFlowCounts {
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsEstablished = 0;
    // Never answered, and given up.
    std::uint64_t flowsNotEstablished = 0;
    std::uint64_t flowsEnded = 0;
    // Stalled ones included.
    std::uint64_t flowsBroken = 0;
    std::uint64_t flowsStalled = 0;
    // Openings left out because of the limit on open flows.
    std::uint64_t flowsSkipped = 0;
    std::uint64_t wrongServicePackets = 0;
    // Opening packets that reached a second server; the flow stays with the one that answered first.
    std::uint64_t openingsAtOtherServers = 0;
    std::uint64_t packetsSent = 0;
    std::uint64_t replies = 0;
    // Replies to flows that had ended, broken or never been.
    std::uint64_t lateReplies = 0;
};

}
