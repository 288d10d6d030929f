#pragma once

#include "Core/Clock.h"
#include "FaultProxy/FaultSettings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace wisteriadock {

// Seeded by the proxy's --seed; the same seed, units and times give the same faults.
using Random = std::mt19937_64;

// What happened to the units of one direction of a link.
struct FaultCounters {
    std::uint64_t units = 0;
    std::uint64_t bytes = 0;
    std::uint64_t delayed = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
    // Dropped, held or reset by a cut.
    std::uint64_t cut = 0;
    std::uint64_t frozen = 0;
    // Dropped because the link already held as much as it may.
    std::uint64_t overflowed = 0;

    std::uint64_t faultsInjected() const { return delayed + lost + duplicated + reordered + cut + frozen; }
};

// When a unit is delivered. No time at all: it is dropped.
struct FaultDecision {
    std::optional<TimePoint> deliverAt;
    // A duplicate's own time.
    std::optional<TimePoint> duplicateAt;
};

// Decides what becomes of each unit (a datagram, or some bytes of a stream) of one direction of one session.
class LinkFaults {
public:
    // The counters are the link's own and shared by its sessions; they outlive this object.
    LinkFaults(LinkProtocol, FaultCounters&);

    void setSettings(const FaultSettings& settings) { settings_ = settings; }
    const FaultSettings& settings() const { return settings_; }

    FaultDecision decide(std::size_t size, TimePoint now, Random&);

    // True while nothing may be delivered, whatever its time: a freeze, or a stream waiting for the end of a cut.
    bool isHolding() const;
    // True when connections are to be reset.
    bool isResetting() const { return settings_.cut && settings_.reset; }

    // How much later than planned a reordered datagram arrives, so that its followers overtake it.
    static constexpr std::chrono::milliseconds reorderDelay { 5 };

private:
    FaultDecision decideDatagram(TimePoint now, Random&);
    FaultDecision decideBytes(TimePoint now, Random&);
    TimePoint deliveryTime(TimePoint now, Random&);

    LinkProtocol protocol_;
    FaultCounters& counters_;
    FaultSettings settings_;
    // Bytes of a stream never overtake each other.
    TimePoint lastDelivery_;
};

}
