#pragma once

#include "KeyValue/PlatformTypes.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

// The JSON shapes between the platform and its clients (docs/design/platform.md). Client and stand-in both use them.
// Every reader fails with InvalidArgument and names the field and what was expected.
using Json = nlohmann::json;

// Reads a text that must be one JSON object.
Result<Json> parseJsonObject(std::string_view text);
// Fails when a string inside is not UTF-8.
Result<std::string> toText(const Json&);

Result<std::uint64_t> unsignedField(const Json& object, const char* name);
// Absent and null give no value.
Result<std::optional<std::uint64_t>> optionalUnsignedField(const Json& object, const char* name);
// Refuses times over platformTimeLimit, so that sums of times and clock readings cannot overflow.
Result<std::chrono::milliseconds> millisecondsField(const Json& object, const char* name);
Result<std::string> textField(const Json& object, const char* name);

inline constexpr std::chrono::milliseconds platformTimeLimit = std::chrono::hours(24);

Json toJson(const PlatformEntry&);
Json toJson(const PlatformLease&);
// An object with the one member "vms".
Json toJson(const std::vector<Vm>&);
Json revisionToJson(std::uint64_t revision);

Result<PlatformEntry> entryOfJson(const Json&);
Result<PlatformLease> leaseOfJson(const Json&);
Result<std::vector<Vm>> vmsOfJson(const Json&);
Result<std::uint64_t> revisionOfJson(const Json&);

}
