#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "StandIns/BackendStandInServer.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace wisteriadock {

using BackendServers = std::vector<std::shared_ptr<BackendStandInServer>>;

// The records of all servers as GET /records shows them. The path may end in "?new_flows=no", "?keys=no" or both joined
// by "&" to leave the long lists out.
nlohmann::json recordsOf(const BackendServers&, std::string_view path, TimePoint now);

// Carries a POST /set out on the server that the body names, or on all of them. The body is checked whole first;
// InvalidArgument names the key or value that was refused, and then nothing changed.
Result<void> changeBackends(const BackendServers&, std::string_view body);

}
