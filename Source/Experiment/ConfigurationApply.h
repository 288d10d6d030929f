#pragma once

#include "Configuration/Configuration.h"
#include "Experiment/ProcessStarter.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// A configuration to apply, and the options of the apply.
struct ConfigurationApplyRequest {
    // Identifies the apply on the platform and names its files in the run directory.
    std::string id;
    std::string author;
    Configuration configuration;
    // Unset: the newest version.
    std::optional<std::uint64_t> baseVersion;
    Endpoint platform;
    std::vector<Endpoint> balancers;
};

// Applies one configuration with wisteriadock-ctl. Runs it again when the platform was unreachable, and with the same
// id and base version when the outcome is unknown, until the apply was accepted or refused.
class ConfigurationApply {
public:
    // The starter outlives this object.
    static Result<std::unique_ptr<ConfigurationApply>> start(ProcessStarter&, ConfigurationApplyRequest);

    // Must be called frequently. Fails with InvalidArgument when ctl reports an unexpected status, and with
    // DeadlineExceeded when it reports no final outcome in time.
    Result<void> poll();

    bool isSettled() const { return accepted_ || refused_; }
    bool isAccepted() const { return accepted_; }
    std::uint64_t version() const { return report_.value("version", std::uint64_t(0)); }
    // Whether the refusal names the apply that succeeded instead.
    bool namesWinner() const { return report_.contains("winner"); }
    std::string reason() const { return report_.value("reason", ""); }
    bool wasUnknown() const { return wasUnknown_; }

    const Configuration& configuration() const { return request_.configuration; }
    const std::string& contentHash() const { return contentHash_; }

private:
    ConfigurationApply(ProcessStarter& starter, ConfigurationApplyRequest request)
        : starter_(starter)
        , request_(std::move(request))
        , begin_(Clock::now())
    {
    }

    Result<void> startCtl();
    Result<void> handleReport();

    ProcessStarter& starter_;
    ConfigurationApplyRequest request_;
    TimePoint begin_;
    std::string contentHash_;
    std::string file_;
    std::unique_ptr<ChildProcess> ctl_;
    nlohmann::json report_;
    TimePoint nextAttempt_;
    unsigned attempts_ = 0;
    bool accepted_ = false;
    bool refused_ = false;
    bool wasUnknown_ = false;
};

}
