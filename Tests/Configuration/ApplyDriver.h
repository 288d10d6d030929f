#pragma once

#include "Configuration/ApplyOperation.h"
#include "Configuration/ConfigurationContent.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace wisteriadock {

// What becomes of one compare-and-swap of the head.
enum class SwapFate {
    Normal,
    LostAfterEffect, // It takes effect; its answer is lost.
    LostBeforeEffect, // It never takes effect; the caller can't tell.
    Unreached, // It never left the caller.
};

// Runs apply operations against a store in memory, call by call.
class ApplyDriver {
public:
    ApplyOutcome run(ApplyRequest request)
    {
        if (request.deadline == TimePoint())
            request.deadline = clock_.now() + std::chrono::seconds(10);
        ApplyOperation operation(std::move(request));
        ApplyAction action = operation.start(clock_.now());
        while (!std::holds_alternative<ApplyOutcome>(action))
            action = operation.handle(perform(action), clock_.now());
        return std::get<ApplyOutcome>(action);
    }

    std::map<std::string, StoredValue> values;
    // The fates of the coming head writes; Normal after the last.
    std::deque<SwapFate> fates;
    // Runs before each head write, so that somebody else can get in first.
    std::function<void()> beforeHeadSwap;
    // Runs after each head write.
    std::function<void()> afterHeadSwap;
    std::size_t headSwaps = 0;

    ConfigurationHead head() const
    {
        return ConfigurationHead::parse(values.at(std::string(configurationHeadKey)).value).value();
    }

private:
    ApplyEvent perform(const ApplyAction& action)
    {
        if (const auto* get = std::get_if<GetKey>(&action))
            return GetEnded { read(get->key) };
        if (const auto* swap = std::get_if<SwapKey>(&action))
            return SwapEnded { swap->key == configurationHeadKey ? swapHead(*swap) : write(*swap) };
        clock_.advance(std::get<WaitForRetry>(action).delay);
        return WaitEnded {};
    }

    Result<StoredValue> read(const std::string& key) const
    {
        const auto found = values.find(key);
        if (found == values.end())
            return Error { ErrorCode::NotFound, key };
        return found->second;
    }

    Result<std::uint64_t> swapHead(const SwapKey& swap)
    {
        ++headSwaps;
        const SwapFate fate = fates.empty() ? SwapFate::Normal : fates.front();
        if (!fates.empty())
            fates.pop_front();
        if (beforeHeadSwap)
            std::exchange(beforeHeadSwap, nullptr)();
        if (fate == SwapFate::Unreached)
            return Error { ErrorCode::Unavailable, "not reached" };
        Result<std::uint64_t> result = Error { ErrorCode::Unknown, "answer lost" };
        if (fate != SwapFate::LostBeforeEffect) {
            auto written = write(swap);
            if (fate == SwapFate::Normal)
                result = std::move(written);
        }
        if (afterHeadSwap)
            std::exchange(afterHeadSwap, nullptr)();
        return result;
    }

    Result<std::uint64_t> write(const SwapKey& swap)
    {
        const auto found = values.find(swap.key);
        const std::uint64_t current = found == values.end() ? 0 : found->second.revision;
        if (current != swap.revision)
            return Error { ErrorCode::Conflict, std::to_string(current) };
        values[swap.key] = { swap.value, ++revision_ };
        return revision_;
    }

    ManualClock clock_;
    std::uint64_t revision_ = 0;
};

}
