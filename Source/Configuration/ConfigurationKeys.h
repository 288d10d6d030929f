#pragma once

#include <string_view>

// The names of sections and keys in configuration files, shared by the parser, the writer and the diff.
namespace wisteriadock::configuration_keys {

constexpr std::string_view service = "service";
constexpr std::string_view backendServer = "backend_server";

constexpr std::string_view address = "address";
constexpr std::string_view evenness = "evenness";
constexpr std::string_view panicThreshold = "panic_threshold";
constexpr std::string_view flowIdleSeconds = "flow_idle_seconds";
constexpr std::string_view objective = "objective";

constexpr std::string_view flowAddress = "flow_address";
constexpr std::string_view requestAddress = "request_address";
constexpr std::string_view availabilityZone = "availability_zone";
constexpr std::string_view slots = "slots";
constexpr std::string_view connections = "connections";
constexpr std::string_view weight = "weight";
constexpr std::string_view state = "state";
constexpr std::string_view slowStartSeconds = "slow_start_seconds";

}
