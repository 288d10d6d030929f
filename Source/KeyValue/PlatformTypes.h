#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The largest value that the platform holds, in bytes.
inline constexpr std::size_t platformValueLimit = 1'000'000;

// The error of a compare-and-swap that lost, and the revision that such an error reports as the current one
// (none for any other error).
Error conflictError(std::string_view key, std::uint64_t expected, std::uint64_t current);
std::optional<std::uint64_t> currentRevisionOf(const Error&);

// A stored value; key and value are UTF-8 text. Revisions are per store and rise with every write.
struct PlatformEntry {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

struct PlatformLease {
    std::uint64_t id = 0;
    std::chrono::milliseconds timeToLive { 0 };
};

enum class VmState {
    Live,
    Leaving,
};

std::string_view nameOf(VmState);
std::optional<VmState> vmStateOf(std::string_view name);

// One line of the platform's list of VMs. The list lags: treat it as advice.
struct Vm {
    std::string name;
    std::string availabilityZone;
    // Where the balancer of this VM takes messages from other balancers, as text.
    std::string peerAddress;
    VmState state = VmState::Live;
};

}
