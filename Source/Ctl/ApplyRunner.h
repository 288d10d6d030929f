#pragma once

#include "Configuration/ApplyOperation.h"
#include "Ctl/CtlRuntime.h"
#include "KeyValue/Platform.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace wisteriadock {

// Limit for one platform call; the deadline of the command may end it sooner.
constexpr std::chrono::milliseconds platformCallTimeout { 2000 };

// Runs an ApplyOperation: turns its actions into platform calls and timers, and their results into events. Used by
// CtlCommands and StateChange. The runner keeps itself alive until it has called the callback; the platform and the
// runtime must outlive it.
template <PlatformService Platform, CtlRuntime Runtime>
class ApplyRunner : public std::enable_shared_from_this<ApplyRunner<Platform, Runtime>> {
public:
    using Callback = std::function<void(ApplyOutcome)>;

    static void run(Platform& platform, Runtime& runtime, ApplyRequest request, Callback callback)
    {
        const std::shared_ptr<ApplyRunner> runner(
            new ApplyRunner(platform, runtime, std::move(request), std::move(callback)));
        runner->perform(runner->operation_.start(runtime.now()));
    }

private:
    ApplyRunner(Platform& platform, Runtime& runtime, ApplyRequest request, Callback callback)
        : platform_(platform)
        , runtime_(runtime)
        , deadline_(request.deadline)
        , operation_(std::move(request))
        , callback_(std::move(callback))
    {
    }

    void perform(ApplyAction action)
    {
        std::visit([this](auto& step) { this->performStep(step); }, action);
    }

    void performStep(const GetKey& get)
    {
        platform_.get(get.key, callDeadline(), [self = this->shared_from_this()](const Result<PlatformEntry>& entry) {
            self->handle(GetEnded { toStoredValue(entry) });
        });
    }

    void performStep(const CompareAndSwapKey& swap)
    {
        platform_.compareAndSwap(swap.key, swap.revision, swap.value, std::nullopt, callDeadline(),
            [self = this->shared_from_this()](
                Result<std::uint64_t> revision) { self->handle(CompareAndSwapEnded { std::move(revision) }); });
    }

    void performStep(const WaitForRetry& wait)
    {
        runtime_.runAfter(wait.delay, [self = this->shared_from_this()] { self->handle(WaitEnded {}); });
    }

    void performStep(ApplyOutcome& outcome) { callback_(std::move(outcome)); }

    void handle(const ApplyEvent& event) { perform(operation_.handle(event, runtime_.now())); }

    TimePoint callDeadline() const { return std::min(deadline_, runtime_.now() + platformCallTimeout); }

    static Result<StoredValue> toStoredValue(const Result<PlatformEntry>& entry)
    {
        if (!entry)
            return entry.error();
        return StoredValue { entry.value().value, entry.value().revision };
    }

    Platform& platform_;
    Runtime& runtime_;
    TimePoint deadline_;
    ApplyOperation operation_;
    Callback callback_;
};

}
