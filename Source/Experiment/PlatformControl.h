#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/ProcessStarter.h"
#include "KeyValue/PlatformTypes.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// The platform's stand-in of a run.
class PlatformControl {
public:
    static Result<std::unique_ptr<PlatformControl>> start(ProcessStarter&, AdminClient&);

    Endpoint address() const { return address_; }

    // The balancers see the list only after a lag.
    Result<void> setVms(const std::vector<Vm>&);
    Result<void> setOutage(bool);
    // Every call waits that long before it is acted on.
    Result<void> setCallDelay(std::chrono::milliseconds);
    // The next writes by compare-and-swap take effect, but their answers are lost. 0 ends it.
    Result<void> loseWriteAnswers(std::uint64_t count);
    Result<void> takeSnapshot(const std::string& name);
    Result<void> restore(const std::string& name);

    struct Counters {
        // Calls of all kinds, a waiting watch as one, and calls that an outage refused.
        std::uint64_t calls = 0;
        std::uint64_t answersLost = 0;
    };
    Result<Counters> counters();

    static constexpr std::chrono::milliseconds vmListLag { 1000 };

private:
    PlatformControl(AdminClient& client, std::unique_ptr<ChildProcess> process, Endpoint address)
        : client_(client)
        , process_(std::move(process))
        , address_(address)
    {
    }

    AdminClient& client_;
    std::unique_ptr<ChildProcess> process_;
    Endpoint address_;
};

}
