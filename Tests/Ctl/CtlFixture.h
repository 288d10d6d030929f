#pragma once

#include "Configuration/ExampleConfiguration.h"
#include "Ctl/CtlCommands.h"
#include "Support/FakePlatform.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// A CtlRuntime on a manual clock: time advances only when runNext() runs a timer.
class ManualRuntime {
public:
    explicit ManualRuntime(ManualClock& clock)
        : clock_(clock)
    {
    }

    TimePoint now() const { return clock_.now(); }

    void runAfter(Duration delay, std::function<void()> callback)
    {
        timers_.push_back({ now() + delay, std::move(callback) });
    }

    // Advances to the next timer and runs it. Returns whether there was one.
    bool runNext()
    {
        if (timers_.empty())
            return false;
        Timer timer = std::move(timers_.front());
        timers_.erase(timers_.begin());
        clock_.advance(timer.due - now());
        timer.callback();
        return true;
    }

private:
    struct Timer {
        TimePoint due;
        std::function<void()> callback;
    };

    ManualClock& clock_;
    // A command waits for one timer at a time, so the order of insertion is the order of due times.
    std::vector<Timer> timers_;
};

static_assert(CtlRuntime<ManualRuntime>);

// The fake platform with hooks around the swap of the configuration head, in which a test acts as another operator.
class InterceptedPlatform : public FakePlatform {
public:
    using FakePlatform::FakePlatform;

    void compareAndSwap(const std::string& key, std::uint64_t revision, const std::string& value,
        std::optional<std::uint64_t> lease, TimePoint deadline, Callback<std::uint64_t> callback)
    {
        const bool isHead = key == configurationHeadKey;
        if (isHead && beforeHeadSwap)
            std::exchange(beforeHeadSwap, nullptr)();
        FakePlatform::compareAndSwap(key, revision, value, lease, deadline,
            [this, isHead, callback = std::move(callback)](Result<std::uint64_t> result) {
                if (isHead && afterHeadSwap)
                    std::exchange(afterHeadSwap, nullptr)();
                callback(std::move(result));
            });
    }

    std::function<void()> beforeHeadSwap;
    std::function<void()> afterHeadSwap;
};

// Runs ctl's commands against the fake platform in virtual time.
class CtlFixture : public testing::Test {
protected:
    using Commands = CtlCommands<InterceptedPlatform, ManualRuntime>;

    ~CtlFixture() override
    {
        for (const std::string& path : files_)
            std::remove(path.c_str());
    }

    std::string writeFile(std::string_view text)
    {
        std::string path
            = testing::TempDir() + "ctl-" + std::to_string(::getpid()) + "-" + std::to_string(files_.size()) + ".ini";
        std::ofstream(path) << text;
        files_.push_back(path);
        return path;
    }

    CtlResult run(const CtlOptions& options, const std::function<void(Commands&, Commands::Callback)>& command)
    {
        std::optional<CtlResult> result;
        Commands commands(platform_, runtime_, options);
        command(commands, [&](CtlResult ended) {
            EXPECT_FALSE(result) << "a command ends once";
            result = std::move(ended);
        });
        while (!result && runtime_.runNext()) { }
        EXPECT_TRUE(result);
        return result.value_or(CtlResult());
    }

    static CtlOptions options(const std::string& argument, const std::string& applyId)
    {
        CtlOptions options;
        options.argument = argument;
        options.applyId = applyId;
        options.author = "litia";
        options.timeLimit = std::chrono::seconds(10);
        return options;
    }

    CtlResult apply(const CtlOptions& options)
    {
        return run(options, [](Commands& commands, Commands::Callback done) { commands.apply(std::move(done)); });
    }

    CtlResult apply(std::string_view text, const std::string& applyId)
    {
        return apply(options(writeFile(text), applyId));
    }

    CtlResult get()
    {
        return run(options("", ""), [](Commands& commands, Commands::Callback done) { commands.get(std::move(done)); });
    }

    CtlResult diff(std::string_view text)
    {
        return run(options(writeFile(text), ""),
            [](Commands& commands, Commands::Callback done) { commands.diff(std::move(done)); });
    }

    CtlResult setState(const std::string& server, BackendServerState state, const std::string& applyId)
    {
        return run(options(server, applyId),
            [state](Commands& commands, Commands::Callback done) { commands.setState(state, std::move(done)); });
    }

    ManualClock clock_;
    ManualRuntime runtime_ { clock_ };
    InterceptedPlatform platform_ { clock_ };

private:
    std::vector<std::string> files_;
};

}
