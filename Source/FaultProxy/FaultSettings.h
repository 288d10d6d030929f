#pragma once

#include <chrono>
#include <string_view>

namespace wisteriadock {

// The transport protocol of a link.
enum class LinkProtocol {
    Tcp,
    Udp,
};

std::string_view nameOf(LinkProtocol);

// The direction of a unit on a link: from the client that opened the session to the target, or back.
enum class Direction {
    ToTarget,
    ToSource,
};

std::string_view nameOf(Direction);

inline constexpr std::size_t directionCount = 2;

// The faults that are applied to the units of one direction. Loss, duplication and reordering apply to datagrams only,
// since applying them to TCP would corrupt the stream.
struct FaultSettings {
    std::chrono::milliseconds delay { 0 };
    // The upper bound of an additional delay that is drawn uniformly for each unit.
    std::chrono::milliseconds jitter { 0 };
    // Probabilities between 0 and 1.
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    // Nothing is delivered: datagrams are dropped, bytes of a stream wait until the cut ends.
    bool cut = false;
    // With cut: TCP connections are reset instead of waiting.
    bool reset = false;
    // All units wait and are delivered when the freeze ends.
    bool freeze = false;

    bool operator==(const FaultSettings&) const = default;
};

// Combines two settings: delays and jitters are added, the higher probability applies, and a flag is set when either
// of the two has it.
FaultSettings combine(const FaultSettings&, const FaultSettings&);

}
