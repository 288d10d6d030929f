#pragma once

#include "Core/Endpoint.h"
#include "FaultProxy/FaultRules.h"
#include "FaultProxy/LinkFaults.h"

#include <array>
#include <optional>
#include <string>

namespace wisteriadock {

// What the admin says about a link.
struct LinkOptions {
    std::string name;
    LinkProtocol protocol = LinkProtocol::Tcp;
    // A port of 0 takes an ephemeral one.
    Endpoint listen;
    // Unset until the target is known: what arrives before is dropped.
    Endpoint target;
};

// Carries everything that arrives at its own address to the target, and answers back.
class Link {
public:
    // The rules and the random source outlive the link.
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
    // Applies the rules to the sessions that are open.
    virtual void applyRules() = 0;

    const LinkOptions& options() const { return options_; }
    // Holds for new sessions and, on a UDP link, for all that follows in open ones.
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
