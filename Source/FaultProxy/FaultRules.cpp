#include "FaultProxy/FaultRules.h"

#include <fnmatch.h>

namespace wisteriadock {

namespace {

    bool matches(const std::string& pattern, const std::string& text)
    {
        return fnmatch(pattern.c_str(), text.c_str(), 0) == 0;
    }

}

void FaultRules::set(const FaultScope& scope, Direction direction, const FaultSettings& settings)
{
    std::erase_if(rules_, [&](const Rule& rule) { return rule.scope == scope && rule.direction == direction; });
    if (settings != FaultSettings())
        rules_.push_back({ scope, direction, settings });
}

FaultSettings FaultRules::settingsFor(const std::string& link, const std::string& source, Direction direction) const
{
    FaultSettings settings;
    for (const Rule& rule : rules_) {
        if (rule.direction == direction && matches(rule.scope.link, link) && matches(rule.scope.source, source))
            settings = combine(settings, rule.settings);
    }
    return settings;
}

}
