#pragma once

#include "FaultProxy/FaultSettings.h"

#include <string>
#include <vector>

namespace wisteriadock {

// Selects the units to which a rule applies. Both patterns are shell globs.
struct FaultScope {
    // Matched against the name of the link.
    std::string link;
    // Matched against the "ADDRESS:PORT" of the client that opened the session, so that a link that several processes
    // share can have faults for some of them only.
    std::string source = "*";

    bool operator==(const FaultScope&) const = default;
};

// The fault rules of a proxy: at most one for each scope and direction. The rules that match a unit are combined.
class FaultRules {
public:
    // Replaces the rule that has exactly this scope and direction. Settings without any fault remove it.
    void set(const FaultScope&, Direction, const FaultSettings&);

    // The combined settings of all rules that match the link, the source and the direction.
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
