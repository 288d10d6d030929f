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

// Starts and controls the process that simulates the platform.
class PlatformControl {
public:
    static Result<std::unique_ptr<PlatformControl>> start(ProcessStarter&, AdminClient&);

    Endpoint address() const { return address_; }

    // Sets the list of VMs, which the balancers see after vmListLag.
    Result<void> setVms(const std::vector<Vm>&);
    Result<void> setOutage(bool);
    // Delays every call by this time before it is executed.
    Result<void> setCallDelay(std::chrono::milliseconds);
    // Executes the next `count` compare-and-swap writes but drops their responses. 0 ends this.
    Result<void> loseWriteAnswers(std::uint64_t count);
    Result<void> takeSnapshot(const std::string& name);
    Result<void> restore(const std::string& name);

    struct Counters {
        // Calls of all kinds, including those rejected during an outage. A watch counts as one call.
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
