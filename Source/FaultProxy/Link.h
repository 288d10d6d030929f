#pragma once

#include "Core/Endpoint.h"
#include "FaultProxy/FaultRules.h"
#include "FaultProxy/LinkFaults.h"

#include <array>
#include <optional>
#include <string>

namespace wisteriadock {

// The options of a link, as FaultProxyAdmin reads them.
struct LinkOptions {
    std::string name;
    LinkProtocol protocol = LinkProtocol::Tcp;
    // Port 0 selects an ephemeral port.
    Endpoint listen;
    // While it is unset, datagrams are dropped and TCP connections are closed.
    Endpoint target;
};

// Forwards the traffic that arrives at its own address to a target, and the target's replies back to the source.
// FaultProxy owns the links.
class Link {
public:
    // The rules and the random source must outlive the link.
    Link(LinkOptions options, const FaultRules& rules, Random& random)
        : options_(std::move(options))
        , rules_(rules)
        , random_(random)
    {
    }
    virtual ~Link() = default;
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    virtual Endpoint address() const = 0;
    // Applies changed rules to the open sessions.
    virtual void applyRules() = 0;

    const LinkOptions& options() const { return options_; }
    // Applies to new sessions and, on a UDP link, also to later datagrams of open sessions.
    void setTarget(Endpoint target) { options_.target = target; }

    const FaultCounters& counters(Direction direction) const { return counters_[static_cast<std::size_t>(direction)]; }

protected:
    FaultCounters& countersOf(Direction direction) { return counters_[static_cast<std::size_t>(direction)]; }
    FaultSettings settingsFor(const Endpoint& source, Direction direction) const
    {
        return rules_.settingsFor(options_.name, source.toString(), direction);
    }
    Random& random() { return random_; }

private:
    LinkOptions options_;
    const FaultRules& rules_;
    Random& random_;
    std::array<FaultCounters, directionCount> counters_;
};

}
