#pragma once

#include "KeyValue/PlatformTypes.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

// The JSON bodies exchanged between the platform and its clients (docs/design/platform.md), used by the client and by
// the stand-in of the platform. Every reader fails with InvalidArgument and names the field and the expected value.
using Json = nlohmann::json;

// Parses a text that must be one JSON object.
Result<Json> parseJsonObject(std::string_view text);
// Serializes a JSON value. Fails with InvalidArgument if a string in it is not UTF-8.
Result<std::string> toText(const Json&);

Result<std::uint64_t> unsignedField(const Json& object, const char* name);
// Returns no value if the field is absent or null.
Result<std::optional<std::uint64_t>> optionalUnsignedField(const Json& object, const char* name);
// Refuses durations over platformTimeLimit, so that adding them to a time point cannot overflow.
Result<std::chrono::milliseconds> millisecondsField(const Json& object, const char* name);
Result<std::string> textField(const Json& object, const char* name);

inline constexpr std::chrono::milliseconds platformTimeLimit = std::chrono::hours(24);

Json toJson(const PlatformEntry&);
Json toJson(const PlatformLease&);
// Returns an object with the single member "vms".
Json toJson(const std::vector<Vm>&);
Json revisionToJson(std::uint64_t revision);

Result<PlatformEntry> entryOfJson(const Json&);
Result<PlatformLease> leaseOfJson(const Json&);
Result<std::vector<Vm>> vmsOfJson(const Json&);
Result<std::uint64_t> revisionOfJson(const Json&);

}
