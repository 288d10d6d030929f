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
    FaultSettings both;
    both.delay = first.delay + second.delay;
    both.jitter = first.jitter + second.jitter;
    both.loss = std::max(first.loss, second.loss);
    both.duplicate = std::max(first.duplicate, second.duplicate);
    both.reorder = std::max(first.reorder, second.reorder);
    both.cut = first.cut || second.cut;
    both.reset = first.reset || second.reset;
    both.freeze = first.freeze || second.freeze;
    return both;
}

}
