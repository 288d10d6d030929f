#pragma once

#include "Configuration/Configuration.h"
#include "Settings/SettingsReader.h"

#include <string>
#include <vector>

namespace wisteriadock {

// A service as declared, with the section to which problems are attributed.
struct DeclaredService {
    Service service;
    SectionReader* section = nullptr;
};

// A backend server as declared, with the section to which problems are attributed. Malformed keys, which have been
// reported already, are unset.
struct DeclaredBackendServer {
    BackendServer server;
    std::string serviceName;
    SectionReader* section = nullptr;
};

// Checks entries against each other: the numbers of entries, duplicate addresses, backend servers of undeclared
// services, services without backend servers, and names whose identifiers collide. Reports problems through the
// sections and the reader. Called by parseConfiguration().
void checkConsistency(SettingsReader&, const std::vector<DeclaredService>&, const std::vector<DeclaredBackendServer>&);

}
