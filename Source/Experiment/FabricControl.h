#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/ProcessStarter.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace wisteriadock {

// Starts and controls the process that simulates the fabric.
class FabricControl {
public:
    static Result<std::unique_ptr<FabricControl>> start(ProcessStarter&, AdminClient&, std::uint64_t seed);

    // The address to which callers send their packets.
    Endpoint address() const { return process_->listening("fabric").value(); }
    // Sets the balancers over which the fabric sprays packets.
    Result<void> setBalancers(const std::vector<Endpoint>&);

private:
    FabricControl(AdminClient& client, std::unique_ptr<ChildProcess> process)
        : client_(client)
        , process_(std::move(process))
    {
    }

    AdminClient& client_;
    std::unique_ptr<ChildProcess> process_;
};

}
