#pragma once

#include "Configuration/Configuration.h"
#include "Settings/SettingsReader.h"

#include <string>
#include <vector>

namespace wisteriadock {

// A service as its section declares it, with the section to report problems at.
struct DeclaredService {
    Service service;
    SectionReader* section = nullptr;
};

// A backend server as its section declares it. Keys that were malformed, and reported so, are unset.
struct DeclaredBackendServer {
    BackendServer server;
    std::string serviceName;
    SectionReader* section = nullptr;
};

// Checks what no single key shows: numbers of entries, addresses used twice, backend servers of no service, services
// without backend servers, and names whose identifiers collide. Reports problems through the sections and the reader.
void checkConsistency(SettingsReader&, const std::vector<DeclaredService>&, const std::vector<DeclaredBackendServer>&);

}
