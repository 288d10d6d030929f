#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Log.h"
#include "Forward/ColdStartLimit.h"
#include "Forward/OpeningSettings.h"
#include "Forward/OverloadSettings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The settings of wisteriadock-forwarder, read from an INI file (documented in docs/operators/forwarder.md).
struct ForwarderSettings {
    std::string vm;
    std::string availabilityZone;

    // Addresses to listen on: flow packets (UDP), readiness checks (HTTP), other balancers (UDP and HTTP/2), metrics
    // (HTTP; optional).
    Endpoint flow;
    Endpoint ready;
    Endpoint peer;
    Endpoint metrics;
    // The platform's store (HTTP).
    Endpoint store;
    // VMs whose balancers are contacted first. Only their addresses are used: all balancers listen on the same peer
    // port.
    std::vector<Endpoint> seeds;

    // The longest lifetime of a flow.
    std::chrono::milliseconds longestFlow { 60000 };
    // Time from the stop signal until the process is killed.
    std::chrono::milliseconds grace { 6000 };
    // Bandwidth of the VM's link in Mbit/s; 0 when unknown. Balancers with fast links watch the store for the others.
    std::uint32_t linkMegabits = 0;

    // How old this balancer's view of the store may become, as far as the configuration and draining servers are
    // concerned. 0: no bound.
    std::chrono::milliseconds maxReplicaStaleness { 0 };
    std::chrono::milliseconds maxDrainStaleness { 0 };
    // The smaller one of both; 0 without a bound.
    std::chrono::milliseconds stalenessBound() const;

    // How servers are chosen for new flows.
    OpeningSettings opening;
    ColdStartSettings coldStart;
    OverloadSettings overload;

    // How often balancers report the load that they see; 0: never.
    std::chrono::milliseconds loadReportInterval { 0 };
    // How long callers delay the acknowledgement of a single packet. Requests count as in progress so much shorter.
    std::chrono::milliseconds acknowledgementDelay { 40 };

    LogLevel logLevel = LogLevel::Info;
    // Lines a second of each kind of event.
    std::uint32_t logBudget = 200;

    // Reads the file, or a text in its format. All problems are reported together, each with its line and what was
    // expected.
    static Result<ForwarderSettings> load(const std::string& path);
    static Result<ForwarderSettings> parse(const std::string& file, const std::string& text);

    // Names of the settings that differ and take effect only after a restart.
    std::vector<std::string> differencesThatNeedRestart(const ForwarderSettings& other) const;
};

}
