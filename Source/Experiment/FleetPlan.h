#pragma once

#include "Configuration/Configuration.h"
#include "Experiment/ExperimentOptions.h"

#include <cstddef>
#include <string>
#include <vector>

namespace wisteriadock {

// A backend server as it is planned, before its process has an address.
struct PlannedServer {
    std::string name;
    // Index into FleetPlan::services.
    std::size_t service = 0;
    std::string availabilityZone;
};

// Names, services and sizes of the system that a run builds up: two services, the first with about four fifths of the
// backend servers, spread over the availability zones.
struct FleetPlan {
    std::vector<std::string> availabilityZones;
    std::vector<Service> services;
    // Those of the first configuration, and after them spares that are added to the first service while the run goes
    // on.
    std::vector<PlannedServer> servers;
    std::size_t spareServers = 0;

    static FleetPlan make(const ExperimentOptions&, std::size_t spareServers);

    std::size_t initialServerCount() const { return servers.size() - spareServers; }
    std::vector<std::size_t> serviceOfInitialServers() const;
    // "tryon@ADDRESS@SHARE,…" as the callers' stand-in takes it.
    std::string callerServicesArgument() const;
};

}
