#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/ProcessStarter.h"
#include "FaultProxy/FaultRules.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace wisteriadock {

// Starts and controls the fault proxy of a run.
class FaultProxyControl {
public:
    static Result<std::unique_ptr<FaultProxyControl>> start(ProcessStarter&, AdminClient&, std::uint64_t seed);

    // Opens a link on a loopback address, or sets the target of an open link. Returns the address on which it listens.
    Result<Endpoint> putLink(const std::string& name, LinkProtocol, std::optional<Endpoint> target = std::nullopt);
    // Sets the faults of one direction, or of both if none is given. Default settings end the faults of the scope.
    Result<void> setFaults(const FaultScope&, const FaultSettings&, std::optional<Direction> = std::nullopt);

    struct Totals {
        std::uint64_t faultsInjected = 0;
        // Datagrams and chunks dropped because the proxy's buffers were full. Above 0, the results of the run are
        // invalid.
        std::uint64_t overflowed = 0;
        // Bytes between balancers: peer datagrams and forwarded requests.
        std::uint64_t balancerBytes = 0;
        // Bytes between balancers and the platform.
        std::uint64_t platformBytes = 0;
    };
    Result<Totals> totals();

private:
    FaultProxyControl(AdminClient& client, std::unique_ptr<ChildProcess> process, Endpoint admin)
        : client_(client)
        , process_(std::move(process))
        , admin_(admin)
    {
    }

    AdminClient& client_;
    std::unique_ptr<ChildProcess> process_;
    Endpoint admin_;
};

}
