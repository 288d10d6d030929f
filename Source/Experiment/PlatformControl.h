#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/ProcessStarter.h"
#include "Platform/PlatformTypes.h"

#include <chrono>
#include <memory>
#include <vector>

namespace wisteriadock {

// The platform's stand-in of a run.
class PlatformControl {
public:
    static Result<std::unique_ptr<PlatformControl>> start(ProcessStarter&, AdminClient&);

    Endpoint address() const { return address_; }

    // The balancers see the list only after a lag.
    Result<void> setVms(const std::vector<Vm>&);
    Result<void> setDown(bool);

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
