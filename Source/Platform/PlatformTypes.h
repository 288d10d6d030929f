#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A stored value. Revisions are per store and rise with every write.
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

// One line of the platform's list of VMs. The list lags: treat it as advice.
struct Vm {
    std::string name;
    std::string availabilityZone;
    // Where the balancer of this VM takes messages from other balancers, as text.
    std::string peerAddress;
    VmState state = VmState::Live;
};

}
