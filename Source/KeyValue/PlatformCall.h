#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// The kinds of platform calls.
enum class PlatformCall {
    Get,
    CompareAndSwap,
    Watch,
    GrantLease,
    KeepAlive,
    ListVms,
};

inline constexpr std::size_t platformCallKinds = 6;

// Returns the name used in paths, counters and the faults of the stand-in ("compare_and_swap").
std::string_view nameOf(PlatformCall);
std::optional<PlatformCall> platformCallOf(std::string_view name);

// Returns the HTTP path of the call ("/v1/compare_and_swap").
std::string pathOf(PlatformCall);
std::optional<PlatformCall> platformCallOfPath(std::string_view path);

// Returns whether the call changes state of the platform, so that its effect is unknown if the answer is lost.
bool isWrite(PlatformCall);

}
