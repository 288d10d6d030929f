#pragma once

#include "Ctl/ApplyReport.h"
#include "Ctl/ApplyRunner.h"
#include "Ctl/CtlOptions.h"
#include "Ctl/CtlResult.h"
#include "Ctl/FileCommands.h"
#include "Ctl/StateChange.h"
#include "Ctl/VersionFetch.h"

#include <functional>
#include <string>
#include <utility>

namespace wisteriadock {

// The commands that need the platform, called by CtlProgram. Each command calls its callback exactly once. The platform
// and the runtime must stay alive until then.
template <PlatformService Platform, CtlRuntime Runtime> class CtlCommands {
public:
    using Callback = std::function<void(CtlResult)>;

    CtlCommands(Platform& platform, Runtime& runtime, CtlOptions options)
        : platform_(platform)
        , runtime_(runtime)
        , options_(std::move(options))
        , deadline_(runtime.now() + options_.timeLimit)
    {
    }

    void get(Callback callback)
    {
        fetch([callback = std::move(callback)](const Result<ConfigurationVersion>& version) {
            callback(version ? reportVersion(version.value()) : resultOf(version.error()));
        });
    }

    // Reads the number of the newest version, for the "status" command.
    void newestVersion(std::function<void(Result<std::uint64_t>)> callback)
    {
        fetch([callback = std::move(callback)](const Result<ConfigurationVersion>& version) {
            if (version)
                callback(version.value().head.applied.version);
            else
                callback(version.error());
        });
    }

    void diff(Callback callback)
    {
        const auto file = loadConfiguration(options_.argument);
        if (!file) {
            callback(file.error());
            return;
        }
        fetch([after = file.value(), callback = std::move(callback)](const Result<ConfigurationVersion>& version) {
            if (version)
                callback(reportDiff(version.value().head.applied.version, version.value().configuration, after));
            else if (version.error().code == ErrorCode::NotFound)
                callback(reportDiff(0, Configuration(), after));
            else
                callback(resultOf(version.error()));
        });
    }

    void apply(Callback callback)
    {
        auto file = loadConfiguration(options_.argument);
        if (!file) {
            callback(file.error());
            return;
        }
        ApplyRequest request = baseRequest();
        request.configuration = std::move(file).value();
        request.baseVersion = options_.baseVersion;
        ApplyRunner<Platform, Runtime>::run(platform_, runtime_, std::move(request),
            [callback = std::move(callback)](const ApplyOutcome& outcome) { callback(reportApply(outcome)); });
    }

    // The "drain" and "undrain" commands.
    void setState(BackendServerState state, Callback callback)
    {
        StateChange<Platform, Runtime>::run(
            platform_, runtime_, { options_.argument, state, baseRequest() }, std::move(callback));
    }

private:
    void fetch(typename VersionFetch<Platform, Runtime>::Callback callback)
    {
        VersionFetch<Platform, Runtime>::run(platform_, runtime_, deadline_, std::move(callback));
    }

    ApplyRequest baseRequest() const
    {
        ApplyRequest request;
        request.applyId = options_.applyId;
        request.author = options_.author;
        request.aboveVersion = options_.aboveVersion;
        request.allowed = options_.allowed;
        request.allowUnreadableBase = options_.allowUnreadableBase;
        request.deadline = deadline_;
        return request;
    }

    Platform& platform_;
    Runtime& runtime_;
    CtlOptions options_;
    TimePoint deadline_;
};

}
