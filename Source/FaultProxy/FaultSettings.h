#pragma once

#include <chrono>
#include <string_view>

namespace wisteriadock {

// What a link carries.
enum class LinkProtocol {
    Tcp,
    Udp,
};

std::string_view nameOf(LinkProtocol);

// The way a unit takes through a link: from whoever opened it to the target, or back.
enum class Direction {
    ToTarget,
    ToSource,
};

std::string_view nameOf(Direction);

inline constexpr std::size_t directionCount = 2;

// What is done to the units of one direction. Loss, duplication and reordering apply to datagrams only; on a TCP link
// they would corrupt a stream that a real network delivers whole.
struct FaultSettings {
    std::chrono::milliseconds delay { 0 };
    // Up to this much is added to the delay, evenly drawn for each unit.
    std::chrono::milliseconds jitter { 0 };
    // Probabilities between 0 and 1.
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    // Lets nothing pass: datagrams are dropped, bytes of a stream wait as they would for a retransmission.
    bool cut = false;
    // With cut: connections are reset instead of left waiting.
    bool reset = false;
    // Holds everything and delivers it when the freeze ends.
    bool freeze = false;

    bool operator==(const FaultSettings&) const = default;
};

// What both settings do together: delays add up, the higher probability holds, and either cut or freeze is enough.
FaultSettings combine(const FaultSettings&, const FaultSettings&);

}
