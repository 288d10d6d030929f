#pragma once

#include "Flow/RouteDecision.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wisteriadock {

// Why the packet path dropped a packet: the reasons of the flow engine and its own.
enum class PacketDrop : std::uint8_t {
    Malformed, // No complete PROXY v2 header, or longer than maxPacketBytes.
    UnknownAddress,
    NoBackendServer,
    NoArbiter,
    TooManyHops,
    AwaitingContact,
    SendFailed, // The kernel did not send it.
};

inline constexpr std::size_t packetDropCount = 7;

// The label of the reason in metrics, such as "unknown_address".
std::string_view nameOf(PacketDrop);

// Packets that one or more packet threads counted since the start.
struct PacketTotals {
    std::uint64_t received = 0;
    std::uint64_t toBackendServer = 0;
    std::uint64_t toBalancer = 0;
    std::array<std::uint64_t, packetDropCount> dropped {};

    std::uint64_t droppedFor(PacketDrop drop) const { return dropped[static_cast<std::size_t>(drop)]; }
};

// The packet counters of one packet thread. Only that thread writes them; any thread may read them. Aligned to a cache
// line to avoid false sharing.
class alignas(64) PacketCounters {
public:
    void countReceived(std::uint64_t packets) { add(received_, packets); }
    void countToBackendServer() { add(toBackendServer_, 1); }
    void countToBalancer() { add(toBalancer_, 1); }
    void countDrop(PacketDrop drop) { add(dropped_[static_cast<std::size_t>(drop)], 1); }
    void countDrop(DropReason);

    void addTo(PacketTotals&) const;

private:
    using Counter = std::atomic<std::uint64_t>;

    // With a single writer, a load and a store avoid an atomic read-modify-write.
    static void add(Counter& counter, std::uint64_t amount)
    {
        counter.store(counter.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
    }

    Counter received_ = 0;
    Counter toBackendServer_ = 0;
    Counter toBalancer_ = 0;
    std::array<Counter, packetDropCount> dropped_ {};
};

}
