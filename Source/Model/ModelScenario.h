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
    std::uint32_t slots = 2;
    // Requests that wait when all slots are taken; further ones are refused.
    std::uint32_t queue = 8;
};

// A kind of request as callers ask it.
struct ModelRequestKind {
    std::string name;
    std::string service;
    // In all zones together.
    double perSecond = 100;
    double workMilliseconds = 20;
    // Of the logarithm of the work.
    double spread = 0.5;
    std::chrono::milliseconds targetLatency { 120 };
    std::chrono::milliseconds budget { 2000 };
    // What an answer within the aim and a later one are worth.
    double worth = 1;
    double lateWorth = 0.1;
    // Callers keep flows open and use them again; otherwise each request has a flow of its own.
    bool keepsFlows = false;
    bool isIdempotent = true;
    std::uint32_t retries = 2;
};

enum class ModelFaultKind {
    PowerLossOfAll, // All forwarders are gone for the fault's time and start again, one after the other.
    Kill, // So is a share of them.
    ServersCrash, // A share of a service's servers falls silent for good; their entries lapse after three heartbeats.
    ServersSlow, // A share works `factor` times as long.
    Overload, // Callers ask `factor` times as much.
    Shift, // A share of the first zone's requests comes from the last zone.
    PlannedStop, // A share of the forwarders stops as planned, one after the other, and starts again.
};

std::string_view nameOf(ModelFaultKind);

struct ModelFault {
    std::string name;
    ModelFaultKind kind = ModelFaultKind::PowerLossOfAll;
    std::chrono::milliseconds at { 10000 };
    std::chrono::milliseconds length { 1500 };
    double share = 0.2;
    double factor = 2;
};

// A deployment, its load and its faults, to be tried in simulated time.
struct ModelScenario {
    std::chrono::milliseconds length { 20000 };
    std::uint32_t zones = 3;
    std::uint32_t forwardersPerZone = 2;
    std::uint32_t callersPerZone = 35;
    // How often a caller closes a kept flow after an answer.
    double closingShare = 0.1;

    // Of a forwarder: processor time a packet takes, and from the process's begin until it serves.
    std::chrono::microseconds packetTime { 150 };
    std::chrono::milliseconds startTime { 130 };
    // All that start again do so within this time.
    std::chrono::milliseconds startSpread { 450 };

    // One way.
    std::chrono::microseconds callerDelay { 3000 };
    std::chrono::microseconds zoneDelay { 200 };
    std::chrono::microseconds crossZoneDelay { 900 };
    // How long it takes until a forwarder knows what the store says.
    std::chrono::milliseconds propagationDelay { 500 };
    std::chrono::milliseconds heartbeat { 1200 };

    std::vector<ModelService> services;
    std::vector<ModelRequestKind> requestKinds;
    std::vector<ModelFault> faults;

    // Reads a scenario file (INI). All problems are reported at once, each with its line and what was expected.
    static Result<ModelScenario> load(const std::string& path);
    static Result<ModelScenario> parse(const std::string& file, const std::string& text);
};

}
