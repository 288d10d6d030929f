#pragma once

#include "Core/Clock.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerDirectory.h"

#include <chrono>
#include <cstdint>

namespace wisteriadock {

// How long a server or zone that left so many openings unanswered before is left out.
std::chrono::milliseconds ejectionTime(std::uint32_t failures, const OpeningSettings&);

// Who is dead, judged by each server's own silence.
class ServerLiveness {
public:
    explicit ServerLiveness(OpeningSettings settings)
        : settings_(settings)
    {
    }

    // Leaves the server out when an opening has waited too long for it. True when that is new.
    bool review(KnownServer&, TimePoint now) const;
    // It is left out, or a trial of it is under way.
    static bool isUnresponsive(const KnownServer&, TimePoint now);

private:
    OpeningSettings settings_;
};

}
