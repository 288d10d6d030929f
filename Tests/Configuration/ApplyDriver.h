#pragma once

#include "Configuration/ApplyOperation.h"
#include "Configuration/ConfigurationContent.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace wisteriadock {

// A fault injected into one compare-and-swap of the head.
enum class SwapFault {
    None,
    LostAfterEffect, // The write takes effect, but its answer is lost.
    LostBeforeEffect, // The write does not take effect, and its answer is lost.
    NotSent, // The write is not sent; the caller gets Unavailable.
};

// Runs apply operations against an in-memory store with a manual clock.
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
    // The faults of the next head writes; None for all later ones.
    std::deque<SwapFault> headSwapFaults;
    // Runs once, before the next head write.
    std::function<void()> beforeHeadSwap;
    // Runs once, after the next head write.
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
        if (const auto* swap = std::get_if<CompareAndSwapKey>(&action))
            return CompareAndSwapEnded { swap->key == configurationHeadKey ? swapHead(*swap) : write(*swap) };
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

    Result<std::uint64_t> swapHead(const CompareAndSwapKey& swap)
    {
        ++headSwaps;
        const SwapFault fault = headSwapFaults.empty() ? SwapFault::None : headSwapFaults.front();
        if (!headSwapFaults.empty())
            headSwapFaults.pop_front();
        if (beforeHeadSwap)
            std::exchange(beforeHeadSwap, nullptr)();
        if (fault == SwapFault::NotSent)
            return Error { ErrorCode::Unavailable, "not reached" };
        Result<std::uint64_t> result = Error { ErrorCode::Unknown, "answer lost" };
        if (fault != SwapFault::LostBeforeEffect) {
            auto written = write(swap);
            if (fault == SwapFault::None)
                result = std::move(written);
        }
        if (afterHeadSwap)
            std::exchange(afterHeadSwap, nullptr)();
        return result;
    }

    Result<std::uint64_t> write(const CompareAndSwapKey& swap)
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
