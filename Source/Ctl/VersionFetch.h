#pragma once

#include "Configuration/ConfigurationContent.h"
#include "Configuration/HeadReader.h"
#include "Ctl/ApplyRunner.h"
#include "Ctl/CtlRuntime.h"
#include "KeyValue/Platform.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace wisteriadock {

// Delay before a failed read is retried.
constexpr std::chrono::milliseconds fetchRetryDelay { 200 };

// Reads and verifies the newest version from the platform, and retries until the deadline while the platform cannot be
// reached. Used by CtlCommands and StateChange. NotFound means that there is no version yet. The object keeps itself
// alive until it has called the callback; the platform and the runtime must outlive it.
template <PlatformService Platform, CtlRuntime Runtime>
class VersionFetch : public std::enable_shared_from_this<VersionFetch<Platform, Runtime>> {
public:
    using Callback = std::function<void(Result<ConfigurationVersion>)>;

    static void run(Platform& platform, Runtime& runtime, TimePoint deadline, Callback callback)
    {
        const std::shared_ptr<VersionFetch> fetch(new VersionFetch(platform, runtime, deadline, std::move(callback)));
        fetch->readHead();
    }

private:
    VersionFetch(Platform& platform, Runtime& runtime, TimePoint deadline, Callback callback)
        : platform_(platform)
        , runtime_(runtime)
        , deadline_(deadline)
        , callback_(std::move(callback))
    {
    }

    void readHead()
    {
        platform_.get(std::string(configurationHeadKey), callDeadline(),
            [self = this->shared_from_this()](Result<PlatformEntry> entry) {
                if (entry)
                    self->perform(self->reader_.handleHead(entry.value().value));
                else if (entry.error().code == ErrorCode::NotFound)
                    self->callback_(Error { ErrorCode::NotFound, "there is no configuration yet" });
                else
                    self->retry(entry.error());
            });
    }

    void perform(HeadAction action)
    {
        if (const auto* fetch = std::get_if<FetchPart>(&action))
            readPart(fetch->key);
        else if (auto* read = std::get_if<PutInForce>(&action))
            callback_(std::move(read->version));
        else if (const auto* problem = std::get_if<HeadProblem>(&action))
            handleProblem(*problem);
    }

    void readPart(const std::string& key)
    {
        platform_.get(key, callDeadline(), [self = this->shared_from_this()](Result<PlatformEntry> entry) {
            if (entry)
                self->perform(self->reader_.handlePart(std::move(entry.value().value)));
            else
                self->perform(self->reader_.handlePart(entry.error()));
        });
    }

    void handleProblem(const HeadProblem& problem)
    {
        if (problem.kind == HeadProblemKind::Unreachable)
            retry({ ErrorCode::Unavailable, problem.detail });
        else
            callback_(Error { ErrorCode::InvalidArgument,
                std::string(nameOf(problem.kind)) + " on the platform: " + problem.detail });
    }

    void retry(const Error& error)
    {
        if (runtime_.now() + fetchRetryDelay >= deadline_) {
            callback_(error);
            return;
        }
        runtime_.runAfter(fetchRetryDelay, [self = this->shared_from_this()] { self->readHead(); });
    }

    TimePoint callDeadline() const { return std::min(deadline_, runtime_.now() + platformCallTimeout); }

    Platform& platform_;
    Runtime& runtime_;
    TimePoint deadline_;
    Callback callback_;
    HeadReader reader_;
};

}
