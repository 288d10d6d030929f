#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Log.h"
#include "Forward/ColdStartLimit.h"
#include "Forward/OpeningSettings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The settings of wisteriadock-forwarder, read whole from an INI file (docs/operators/forwarder.md).
struct ForwarderSettings {
    std::string vm;
    std::string availabilityZone;

    // Flow packets arrive here, and readiness checks, messages of other balancers and reads of metrics.
    Endpoint flow;
    Endpoint ready;
    Endpoint peer;
    Endpoint metrics;
    Endpoint store;
    // VMs whose balancers may know the others. Only the addresses count: all balancers listen on the same peer port.
    std::vector<Endpoint> seeds;

    // The longest life of a flow.
    std::chrono::milliseconds longestFlow { 60000 };
    // From the order to stop until the process is killed.
    std::chrono::milliseconds grace { 6000 };
    // What the VM's link carries, in Mbit/s; 0 where nothing says so. The store's news comes by the wide ones.
    std::uint32_t linkMegabits = 0;

    // How new flows find their servers.
    OpeningSettings opening;
    ColdStartSettings coldStart;

    LogLevel logLevel = LogLevel::Info;
    std::uint32_t logBudget = 200;

    // Reads the file. All problems are reported at once, each with its line and what was expected.
    static Result<ForwarderSettings> load(const std::string& path);
    static Result<ForwarderSettings> parse(const std::string& file, const std::string& text);

    // The names of the settings that differ and take effect only at the next start.
    std::vector<std::string> differencesThatNeedRestart(const ForwarderSettings& other) const;
};

}
