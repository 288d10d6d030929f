#pragma once

#include "Request/RequestRunner.h"

#include "Net/Http2Client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock::testing {

// Runners of one availability zone, a clock that the test advances, and messages that go where the test lets them.
class RunnerGroup {
public:
    explicit RunnerGroup(std::size_t count, const RunnerSettings& settings = {}, std::uint32_t slots = 100);

    // A record that names these runners, with the one made before as its past.
    ClaimTerm makeTerm(const std::vector<std::size_t>& holders);
    void learn(const ClaimTerm& term, const std::vector<std::size_t>& who);
    // Makes such a record known to its holders and lets everything settle.
    ClaimTerm settle(const std::vector<std::size_t>& holders);

    // What the network does with a message.
    enum class Verdict { Deliver, Hold, Drop };
    using Filter = std::function<Verdict(std::size_t from, std::size_t to, const RequestMessage&)>;
    // Carries messages until nobody has any.
    void deliver(const Filter& filter = {});
    void releaseHeld();
    void advance(Duration time);
    // Time passes and nobody notices.
    void pauseAll(Duration time) { clock_.advance(time); }

    // A key of the caller's own making whose owner and backup under the newest record are these.
    RequestKey keyOf(std::size_t owner, std::size_t backup, const std::string& prefix = "key");
    AttemptId arrive(std::size_t at, const RequestKey&, Duration timeout = std::chrono::seconds(10));
    AttemptId arriveInvalid(std::size_t at, const RequestKey&, RefusalReason);

    RequestRunner& operator[](std::size_t index) { return *nodes_[index].runner; }
    BalancerInstance holder(std::size_t index) const { return nodes_[index].holder; }
    TimePoint now() const { return clock_.now(); }

    // What a runner decided since the last call of take, messages apart.
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
    // The only refusal that a runner decided; fails the test when there is not just one.
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
