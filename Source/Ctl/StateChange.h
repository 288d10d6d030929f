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

// Limit on attempts when other applies keep winning the race.
constexpr unsigned maxStateChangeAttempts = 5;

// The input of a StateChange.
struct StateChangeRequest {
    std::string backendServer;
    BackendServerState state = BackendServerState::Draining;
    // Each attempt sets the configuration and the base version and appends its number to the apply id.
    ApplyRequest apply;
};

// The "drain" and "undrain" commands: reads the newest version, sets the state of one backend server and applies the
// result on that base. After a lost race it starts again on the new version, since the change does not depend on the
// rest of the configuration. An unknown outcome is reported and not retried. The object keeps itself alive until it has
// called the callback; the platform and the runtime must outlive it.
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
        const bool lostRace = outcome.reason == ApplyRefusal::LostRace || outcome.reason == ApplyRefusal::WrongBase;
        if (lostRace && attempts_ < maxStateChangeAttempts)
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
