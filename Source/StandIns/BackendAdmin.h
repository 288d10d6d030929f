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

// The response to GET /records: counters and records of all servers. "?new_flows=no", "?keys=no", or both joined by
// "&", at the end of the path omit the long lists.
nlohmann::json recordsOf(const BackendServers&, std::string_view path, TimePoint now);

// Applies a POST /set to the server that the body names, or to all servers. The whole body is validated first. Fails
// with InvalidArgument, which names the invalid key or value; then nothing is changed.
Result<void> changeBackends(const BackendServers&, std::string_view body);

}
