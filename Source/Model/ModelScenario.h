#pragma once

#include "Core/Error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A service and its backend servers, the same in each availability zone.
struct ModelService {
    std::string name;
    std::uint32_t serversPerZone = 5;
    // The number of requests that a server runs concurrently.
    std::uint32_t slots = 2;
    // The number of requests that wait when all slots are taken; the server rejects further ones.
    std::uint32_t queue = 8;
};

// A kind of request and how callers send it.
struct ModelRequestKind {
    std::string name;
    std::string service;
    // The request rate of all zones together.
    double perSecond = 100;
    // The mean processing time, and the standard deviation of its logarithm (the times are log-normal).
    double workMilliseconds = 20;
    double spread = 0.5;
    std::chrono::milliseconds targetLatency { 120 };
    // How long a caller waits for an answer, over all attempts.
    std::chrono::milliseconds budget { 2000 };
    // The worth of an answer within the target latency and of a later one, relative to other kinds.
    double worth = 1;
    double lateWorth = 0.1;
    // Callers keep flows open and reuse them; otherwise each request has a flow of its own.
    bool keepsFlows = false;
    // Callers repeat the request if its flow is reset after the request was sent.
    bool isIdempotent = true;
    std::uint32_t retries = 2;
};

enum class ModelFaultKind {
    PowerLossOfAll, // All forwarders are down for the fault's length and then start again, spread over startSpread.
    Kill, // Like PowerLossOfAll, for a share of the forwarders.
    ServersCrash, // A share of the servers crashes for good; their entries expire after three heartbeats.
    ServersSlow, // A share of the servers takes `factor` times as long.
    Overload, // The request rate is multiplied by `factor`.
    Shift, // A share of the first zone's requests comes from the last zone.
    PlannedStop, // A share of the forwarders is stopped gracefully, one after the other, and started again.
};

std::string_view nameOf(ModelFaultKind);

struct ModelFault {
    std::string name;
    ModelFaultKind kind = ModelFaultKind::PowerLossOfAll;
    // The start, relative to the start of the run, and the duration.
    std::chrono::milliseconds at { 10000 };
    std::chrono::milliseconds length { 1500 };
    double share = 0.2;
    double factor = 2;
};

// The input of a simulation: a deployment, its load and its faults.
struct ModelScenario {
    std::chrono::milliseconds length { 20000 };
    std::uint32_t zones = 3;
    std::uint32_t forwardersPerZone = 2;
    std::uint32_t callersPerZone = 35;
    // The probability that a caller closes a kept flow after an answer.
    double closingShare = 0.1;

    // A forwarder's processor time per packet, and the time from its process start until it serves.
    std::chrono::microseconds packetTime { 150 };
    std::chrono::milliseconds startTime { 130 };
    // Forwarders that were killed together start at random times within this interval.
    std::chrono::milliseconds startSpread { 450 };

    // One-way network delays: between callers and a zone, within a zone, and between zones.
    std::chrono::microseconds callerDelay { 3000 };
    std::chrono::microseconds zoneDelay { 200 };
    std::chrono::microseconds crossZoneDelay { 900 };
    // The delay until forwarders see a change in the store.
    std::chrono::milliseconds propagationDelay { 500 };
    // The interval at which servers renew their entries in the store.
    std::chrono::milliseconds heartbeat { 1200 };

    std::vector<ModelService> services;
    std::vector<ModelRequestKind> requestKinds;
    std::vector<ModelFault> faults;

    // Reads a scenario file (INI). The error lists all problems, each with its line and the expected value.
    static Result<ModelScenario> load(const std::string& path);
    static Result<ModelScenario> parse(const std::string& file, const std::string& text);
};

}
