#pragma once

#include "Core/Clock.h"
#include "KeyValue/Platform.h"
#include "KeyValue/PlatformJson.h"
#include "StandIns/Platform/PlatformStore.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace wisteriadock {

// In-memory platform for unit tests; link PlatformStore. Callbacks run inside the call, except those of pending watches
// and of calls while answers are held. Time is the test's ManualClock: call tick() after advancing it.
class FakePlatform {
public:
    template <typename Value> using Callback = std::function<void(Result<Value>)>;

    explicit FakePlatform(const ManualClock& clock)
        : clock_(clock)
    {
    }

    void get(const std::string& key, TimePoint deadline, Callback<PlatformEntry> callback)
    {
        if (refuses(callback))
            return;
        answer(false, deadline, std::move(callback), store_.get(key, clock_.now()));
    }

    void compareAndSwap(const std::string& key, std::uint64_t revision, const std::string& value,
        std::optional<std::uint64_t> lease, TimePoint deadline, Callback<std::uint64_t> callback)
    {
        if (refuses(callback))
            return;
        if (const auto text = toText(Json { key, value }); !text) {
            callback(text.error());
            return;
        }
        const auto result = store_.compareAndSwap({ key, revision, value, lease }, clock_.now());
        answer(true, deadline, std::move(callback), result);
    }

    void watch(const std::string& key, std::uint64_t revision, TimePoint deadline, Callback<PlatformEntry> callback)
    {
        if (refuses(callback))
            return;
        const auto id = store_.watch(key, revision, deadline, clock_.now());
        watchers_.emplace(id, std::move(callback));
        answerWatches();
    }

    void grantLease(std::chrono::milliseconds timeToLive, TimePoint deadline, Callback<PlatformLease> callback)
    {
        if (refuses(callback))
            return;
        answer(true, deadline, std::move(callback), store_.grantLease(timeToLive, clock_.now()));
    }

    void keepAlive(std::uint64_t lease, TimePoint deadline, Callback<PlatformLease> callback)
    {
        if (refuses(callback))
            return;
        answer(true, deadline, std::move(callback), store_.keepAlive(lease, clock_.now()));
    }

    void listVms(TimePoint deadline, Callback<std::vector<Vm>> callback)
    {
        if (refuses(callback))
            return;
        answer<std::vector<Vm>>(false, deadline, std::move(callback), store_.listVms(clock_.now()));
    }

    // During an outage every call fails with Unavailable and has no effect; pending watches fail too.
    void setOutage(bool hasOutage)
    {
        hasOutage_ = hasOutage;
        if (hasOutage)
            store_.failWatches(outageError());
        answerWatches();
    }

    // While answers are held, calls take effect at once but their answers wait for releaseAnswers(). A deadline that
    // passes meanwhile ends the call at the next tick(): writes with Unknown, reads with DeadlineExceeded.
    void setHoldsAnswers(bool holdsAnswers) { holdsAnswers_ = holdsAnswers; }

    // The next `count` successful writes take effect but end with Unknown.
    void loseAnswers(std::size_t count) { answersToLose_ = count; }

    // Delivers the answers held so far. Answers to calls made by their callbacks are held again.
    void releaseAnswers()
    {
        for (HeldAnswer& held : std::exchange(heldAnswers_, {}))
            held.end(false);
    }

    std::size_t heldAnswers() const { return heldAnswers_.size(); }

    // Expires leases, watches and held calls whose time is up.
    void tick()
    {
        store_.advance(clock_.now());
        answerWatches();
        const auto overdue = std::stable_partition(heldAnswers_.begin(), heldAnswers_.end(),
            [now = clock_.now()](const HeldAnswer& held) { return held.deadline > now; });
        std::vector<HeldAnswer> ended(std::make_move_iterator(overdue), std::make_move_iterator(heldAnswers_.end()));
        heldAnswers_.erase(overdue, heldAnswers_.end());
        for (HeldAnswer& held : ended)
            held.end(true);
    }

    // Lets tests inspect the store, set VMs and restore older copies. Call tick() after a change.
    PlatformStore& store() { return store_; }

private:
    struct HeldAnswer {
        TimePoint deadline;
        std::function<void(bool overdue)> end;
    };

    static Error outageError() { return { ErrorCode::Unavailable, "the fake platform is down" }; }

    template <typename Value> bool refuses(const Callback<Value>& callback)
    {
        if (hasOutage_)
            callback(outageError());
        return hasOutage_;
    }

    template <typename Value>
    void answer(bool isWrite, TimePoint deadline, Callback<Value> callback, Result<Value> result)
    {
        if (isWrite && result && answersToLose_ > 0) {
            --answersToLose_;
            result = Error { ErrorCode::Unknown, "the fake platform lost the answer" };
        }
        if (!holdsAnswers_) {
            callback(std::move(result));
        } else {
            const Error late { isWrite ? ErrorCode::Unknown : ErrorCode::DeadlineExceeded,
                "the fake platform held the answer" };
            heldAnswers_.push_back(
                { deadline, [callback = std::move(callback), result = std::move(result), late](bool overdue) {
                     callback(overdue ? late : result);
                 } });
        }
        answerWatches();
    }

    void answerWatches()
    {
        for (auto& ended : store_.takeEndedWatches()) {
            const auto callback = watchers_.extract(ended.id);
            callback.mapped()(std::move(ended.result));
        }
    }

    const ManualClock& clock_;
    PlatformStore store_;
    bool hasOutage_ = false;
    bool holdsAnswers_ = false;
    std::size_t answersToLose_ = 0;
    std::map<PlatformStore::WatchId, Callback<PlatformEntry>> watchers_;
    std::vector<HeldAnswer> heldAnswers_;
};

static_assert(PlatformService<FakePlatform>);

}
