#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// The kinds of call that the platform answers and counts.
enum class PlatformCall {
    Get,
    CompareAndSwap,
    Watch,
    GrantLease,
    KeepAlive,
    ListVms,
};

inline constexpr std::size_t platformCallKinds = 6;

// The name in paths, counters and faults ("compare_and_swap").
std::string_view nameOf(PlatformCall);
std::optional<PlatformCall> platformCallOf(std::string_view name);

// The HTTP path that takes the call ("/v1/compare_and_swap").
std::string pathOf(PlatformCall);
std::optional<PlatformCall> platformCallOfPath(std::string_view path);

// Whether the call changes the platform, so that a lost answer leaves its effect unknown.
bool isWrite(PlatformCall);

}
