#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/ProcessStarter.h"
#include "FaultProxy/FaultRules.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace wisteriadock {

// The fault proxy of a run.
class FaultProxyControl {
public:
    static Result<std::unique_ptr<FaultProxyControl>> start(ProcessStarter&, AdminClient&, std::uint64_t seed);

    // Opens a link on loopback, or gives an open link its target. Returns where it listens.
    Result<Endpoint> putLink(const std::string& name, LinkProtocol, std::optional<Endpoint> target = std::nullopt);
    // Both directions when none is named. Settings without a fault end the faults of that scope.
    Result<void> setFaults(const FaultScope&, const FaultSettings&, std::optional<Direction> = std::nullopt);

    struct Totals {
        std::uint64_t faultsInjected = 0;
        // Units dropped because the proxy could hold no more: above 0 the run's figures are worth nothing.
        std::uint64_t overflowed = 0;
        // Bytes between balancers, peer datagrams and requests to each other.
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
