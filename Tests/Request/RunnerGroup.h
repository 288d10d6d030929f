#pragma once

#include "Request/RequestRunner.h"

#include "Net/Http2Client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock::testing {

// Runners of one availability zone with a manual clock and a network under the control of the test.
class RunnerGroup {
public:
    explicit RunnerGroup(std::size_t count, const RunnerSettings& settings = {}, std::uint32_t slots = 100);

    // A record that names these runners, with the previous record as its history.
    ClaimTerm makeTerm(const std::vector<std::size_t>& holders);
    void learn(const ClaimTerm& term, const std::vector<std::size_t>& who);
    // Gives such a record to its holders and delivers all messages.
    ClaimTerm settle(const std::vector<std::size_t>& holders);

    // What the network does with a message.
    enum class Verdict { Deliver, Hold, Drop };
    using Filter = std::function<Verdict(std::size_t from, std::size_t to, const RequestMessage&)>;
    // Delivers messages until none are left.
    void deliver(const Filter& filter = {});
    void releaseHeld();
    void advance(Duration time);
    // Advances the clock without a tick, like a pause of all processes.
    void pauseAll(Duration time) { clock_.advance(time); }

    // A key chosen by the caller whose owner and backup under the newest record are these.
    RequestKey keyOf(std::size_t owner, std::size_t backup, const std::string& prefix = "key");
    AttemptId arrive(std::size_t at, const RequestKey&, Duration timeout = std::chrono::seconds(10));
    AttemptId arriveInvalid(std::size_t at, const RequestKey&, RefusalReason);

    RequestRunner& operator[](std::size_t index) { return *nodes_[index].runner; }
    BalancerInstance holder(std::size_t index) const { return nodes_[index].holder; }
    TimePoint now() const { return clock_.now(); }

    // Takes the runner's actions of one type, messages excepted, since the last call.
    template <typename Action> std::vector<Action> take(std::size_t index)
    {
        std::vector<Action> taken;
        std::erase_if(nodes_[index].actions, [&](const RequestAction& action) {
            const auto* wanted = std::get_if<Action>(&action);
            if (wanted)
                taken.push_back(*wanted);
            return wanted != nullptr;
        });
        return taken;
    }
    // Takes the runner's refusal; the test fails unless there is exactly one.
    Refusal takeRefusal(std::size_t index);

private:
    struct Node {
        BalancerInstance holder;
        std::unique_ptr<RequestRunner> runner;
        std::vector<RequestAction> actions;
    };
    struct Envelope {
        std::size_t from = 0;
        BalancerInstance to;
        RequestMessage message;
    };

    std::vector<Envelope> collect();
    std::size_t indexOf(const BalancerInstance&) const;

    std::vector<Node> nodes_;
    ManualClock clock_;
    ClaimTerm term_;
    std::vector<Envelope> held_;
    AttemptId lastAttempt_ = 0;
};

ServiceId testService();

}
