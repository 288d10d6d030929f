#pragma once

#include "FaultProxy/FaultSettings.h"

#include <string>
#include <vector>

namespace wisteriadock {

// Which units a rule is for. The patterns are shell globs.
struct FaultScope {
    std::string link;
    // Matched against the "ADDRESS:PORT" of whoever opened the session, so that one link that several processes share
    // can be cut for some of them.
    std::string source = "*";

    bool operator==(const FaultScope&) const = default;
};

// The faults in force. A scope has one rule for each direction; the rules that match a unit add up.
class FaultRules {
public:
    // Replaces the rule of this very scope and direction. Settings without any fault remove it.
    void set(const FaultScope&, Direction, const FaultSettings&);

    FaultSettings settingsFor(const std::string& link, const std::string& source, Direction) const;

private:
    struct Rule {
        FaultScope scope;
        Direction direction;
        FaultSettings settings;
    };

    std::vector<Rule> rules_;
};

}
