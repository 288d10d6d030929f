#include "FaultProxy/FaultSettings.h"

#include "Core/NameTable.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr auto protocolNames = makeNameTable<LinkProtocol>({
        { LinkProtocol::Tcp, "tcp" },
        { LinkProtocol::Udp, "udp" },
    });

    constexpr auto directionNames = makeNameTable<Direction>({
        { Direction::ToTarget, "to_target" },
        { Direction::ToSource, "to_source" },
    });

}

std::string_view nameOf(LinkProtocol protocol) { return protocolNames.name(protocol); }

std::string_view nameOf(Direction direction) { return directionNames.name(direction); }

FaultSettings combine(const FaultSettings& first, const FaultSettings& second)
{
    FaultSettings combined;
    combined.delay = first.delay + second.delay;
    combined.jitter = first.jitter + second.jitter;
    combined.loss = std::max(first.loss, second.loss);
    combined.duplicate = std::max(first.duplicate, second.duplicate);
    combined.reorder = std::max(first.reorder, second.reorder);
    combined.cut = first.cut || second.cut;
    combined.reset = first.reset || second.reset;
    combined.freeze = first.freeze || second.freeze;
    return combined;
}

}
