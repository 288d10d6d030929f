#pragma once

#include "Configuration/Configuration.h"
#include "Experiment/ExperimentOptions.h"

#include <cstddef>
#include <string>
#include <vector>

namespace wisteriadock {

// A backend server that has no address yet.
struct PlannedServer {
    std::string name;
    // Index into FleetPlan::services.
    std::size_t service = 0;
    std::string availabilityZone;
};

// The services and backend servers of a run: two services, the first with about four fifths of the backend servers, all
// distributed over the availability zones.
struct FleetPlan {
    std::vector<std::string> availabilityZones;
    std::vector<Service> services;
    // The servers of the initial configuration, followed by the spare servers, which the run adds to the first service.
    std::vector<PlannedServer> servers;
    std::size_t spareServers = 0;

    static FleetPlan make(const ExperimentOptions&, std::size_t spareServers);

    std::size_t initialServerCount() const { return servers.size() - spareServers; }
    std::vector<std::size_t> serviceOfInitialServers() const;
    // The services as "NAME@ADDRESS@SHARE,…", the value of the flag --services of wisteriadock-standin-caller. SHARE is
    // the number of the service's initial servers.
    std::string callerServicesArgument() const;
};

}
