#pragma once

#include "Ctl/ApplyReport.h"
#include "Ctl/ApplyRunner.h"
#include "Ctl/CtlResult.h"
#include "Ctl/VersionFetch.h"
#include "Settings/NearestName.h"

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// How often a state change that lost against another apply starts again on top of it.
constexpr unsigned maxStateChangeAttempts = 5;

// What "drain" and "undrain" change.
struct StateChangeRequest {
    std::string backendServer;
    BackendServerState state = BackendServerState::Draining;
    // Its configuration and base version are set per attempt; its apply id gets the attempt's number.
    ApplyRequest apply;
};

// Reads the newest version, sets one backend server's state and applies the result on that base. A lost race is not
// passed on to the operator, whose wish does not depend on the rest of the file; an unknown outcome is.
template <PlatformService Platform, CtlRuntime Runtime>
class StateChange : public std::enable_shared_from_this<StateChange<Platform, Runtime>> {
public:
    using Callback = std::function<void(CtlResult)>;

    static void run(Platform& platform, Runtime& runtime, StateChangeRequest request, Callback callback)
    {
        const std::shared_ptr<StateChange> change(
            new StateChange(platform, runtime, std::move(request), std::move(callback)));
        change->attempt();
    }

private:
    StateChange(Platform& platform, Runtime& runtime, StateChangeRequest request, Callback callback)
        : platform_(platform)
        , runtime_(runtime)
        , request_(std::move(request))
        , callback_(std::move(callback))
    {
    }

    void attempt()
    {
        ++attempts_;
        VersionFetch<Platform, Runtime>::run(platform_, runtime_, request_.apply.deadline,
            [self = this->shared_from_this()](Result<ConfigurationVersion> version) {
                if (version)
                    self->applyOn(std::move(version).value());
                else
                    self->callback_(resultOf(version.error()));
            });
    }

    void applyOn(ConfigurationVersion version)
    {
        BackendServer* server = nullptr;
        for (BackendServer& candidate : version.configuration.backendServers) {
            if (candidate.name == request_.backendServer)
                server = &candidate;
        }
        if (!server) {
            callback_(resultOf(unknownServer(version)));
            return;
        }
        server->state = request_.state;

        ApplyRequest apply = request_.apply;
        apply.applyId = fmt::format("{}-{}", apply.applyId, attempts_);
        apply.baseVersion = version.head.applied.version;
        apply.configuration = std::move(version.configuration);
        ApplyRunner<Platform, Runtime>::run(platform_, runtime_, std::move(apply),
            [self = this->shared_from_this()](const ApplyOutcome& outcome) { self->finish(outcome); });
    }

    void finish(const ApplyOutcome& outcome)
    {
        const bool lost = outcome.reason == ApplyRefusal::LostRace || outcome.reason == ApplyRefusal::WrongBase;
        if (lost && attempts_ < maxStateChangeAttempts)
            attempt();
        else
            callback_(reportApply(outcome));
    }

    Error unknownServer(const ConfigurationVersion& version) const
    {
        std::vector<std::string_view> known;
        for (const BackendServer& server : version.configuration.backendServers)
            known.push_back(server.name);
        return { ErrorCode::NotFound,
            fmt::format("version {} has no backend server '{}'; the nearest is '{}'", version.head.applied.version,
                request_.backendServer, nearestName(request_.backendServer, known)) };
    }

    Platform& platform_;
    Runtime& runtime_;
    StateChangeRequest request_;
    Callback callback_;
    unsigned attempts_ = 0;
};

}
