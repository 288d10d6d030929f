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

// What an operator wants to apply, and how.
struct ConfigurationApplyRequest {
    // Names the apply towards the platform and the files of the run.
    std::string id;
    std::string author;
    Configuration configuration;
    // Unset: on top of whatever is newest.
    std::optional<std::uint64_t> baseVersion;
    Endpoint platform;
    std::vector<Endpoint> balancers;
};

// One apply of one operator, who follows what wisteriadock-ctl reports: runs it again when the platform was not
// reached, and with the same id and base when the outcome is unknown, until it was accepted or refused.
class ConfigurationApply {
public:
    // The starter outlives this object.
    static Result<std::unique_ptr<ConfigurationApply>> start(ProcessStarter&, ConfigurationApplyRequest);

    // Call it often. Fails when ctl says something that the operator can't follow, or says nothing final for long.
    Result<void> poll();

    bool isSettled() const { return accepted_ || refused_; }
    bool isAccepted() const { return accepted_; }
    std::uint64_t version() const { return report_.value("version", std::uint64_t(0)); }
    // Whether a refusal says who came first.
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
