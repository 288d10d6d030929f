#include "Balancer/PacketCounters.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto packetDropNames = makeNameTable<PacketDrop>({
        { PacketDrop::Malformed, "malformed" },
        { PacketDrop::UnknownAddress, "unknown_address" },
        { PacketDrop::NoBackendServer, "no_backend_server" },
        { PacketDrop::NoArbiter, "no_arbiter" },
        { PacketDrop::TooManyHops, "too_many_hops" },
        { PacketDrop::AwaitingContact, "awaiting_contact" },
        { PacketDrop::SendFailed, "send_failed" },
    });
    static_assert(packetDropNames.rows().size() == packetDropCount);

    PacketDrop packetDropOf(DropReason reason)
    {
        switch (reason) {
        case DropReason::None:
        case DropReason::UnknownAddress:
            return PacketDrop::UnknownAddress;
        case DropReason::NoBackendServer:
            return PacketDrop::NoBackendServer;
        case DropReason::NoArbiter:
            return PacketDrop::NoArbiter;
        case DropReason::TooManyHops:
            return PacketDrop::TooManyHops;
        case DropReason::AwaitingContact:
            return PacketDrop::AwaitingContact;
        }
        return PacketDrop::UnknownAddress;
    }

}

std::string_view nameOf(PacketDrop drop) { return packetDropNames.name(drop); }

void PacketCounters::countDrop(DropReason reason) { countDrop(packetDropOf(reason)); }

void PacketCounters::addTo(PacketTotals& totals) const
{
    totals.received += received_.load(std::memory_order_relaxed);
    totals.toBackendServer += toBackendServer_.load(std::memory_order_relaxed);
    totals.toBalancer += toBalancer_.load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < packetDropCount; ++i)
        totals.dropped[i] += dropped_[i].load(std::memory_order_relaxed);
}

}
