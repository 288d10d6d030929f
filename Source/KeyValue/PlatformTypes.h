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

// The maximum size of a value in the platform's store, in bytes.
inline constexpr std::size_t platformValueLimit = 1'000'000;

// The error of a compare-and-swap whose expected revision is not the current one.
Error conflictError(std::string_view key, std::uint64_t expected, std::uint64_t current);
// Returns the current revision reported by a conflictError(), or nothing for any other error.
std::optional<std::uint64_t> currentRevisionOf(const Error&);

// A key with its value; both are UTF-8 text. Revisions are counted per store and rise with every write.
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

// An entry of the platform's list of VMs. The list may lag behind the real state.
struct Vm {
    std::string name;
    std::string availabilityZone;
    // The address on which the balancer of this VM receives messages of other balancers, "192.0.2.1:7000".
    std::string peerAddress;
    VmState state = VmState::Live;
};

}
