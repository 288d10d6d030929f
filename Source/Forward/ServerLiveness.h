#pragma once

#include "Core/Clock.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerDirectory.h"

#include <chrono>
#include <cstdint>

namespace wisteriadock {

// Returns the ejection time of a server, group or zone after this number of earlier consecutive ejections.
std::chrono::milliseconds ejectionTime(std::uint32_t failures, const OpeningSettings&);

// Ejects servers that leave an opening packet unanswered (outlier ejection). OpeningPolicy calls it.
class ServerLiveness {
public:
    explicit ServerLiveness(OpeningSettings settings)
        : settings_(settings)
    {
    }

    // Ejects the server if an opening packet has waited too long for its answer. Returns whether it did.
    bool review(KnownServer&, TimePoint now) const;
    // Returns whether the server is ejected or its trial flow is still unanswered.
    static bool isUnresponsive(const KnownServer&, TimePoint now);

private:
    OpeningSettings settings_;
};

}
