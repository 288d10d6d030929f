#include "FakeCallers.h"

namespace wisteriadock::testing {

FakeStatistics& FakeStatistics::operator+=(const FakeStatistics& other)
{
    keys += other.keys;
    attempts += other.attempts;
    answered += other.answered;
    refusedNotRun += other.refusedNotRun;
    refusedUnknown += other.refusedUnknown;
    unanswered += other.unanswered;
    doubleRuns += other.doubleRuns;
    falseRefusals += other.falseRefusals;
    finalFalseRefusals += other.finalFalseRefusals;
    mixedAnswers += other.mixedAnswers;
    incompleteAnswers += other.incompleteAnswers;
    faults += other.faults;
    return *this;
}

FakeCallers::FakeCallers(FakeCluster& cluster)
    : cluster_(cluster)
{
}

void FakeCallers::begin(int attempts)
{
    auto caller = std::make_shared<Caller>();
    caller->attemptsLeft = attempts;
    std::string name = "key-" + std::to_string(statistics_.keys++);
    FakeBalancer& issuer = *cluster_.balancers[cluster_.simulator.draw(cluster_.balancers.size())];
    if (cluster_.simulator.chance(ticketProbability) && issuer.isUp()) {
        if (const auto ticket = issuer.runner().issueTicket(cluster_.simulator.draw(1ULL << 60), statistics_.keys))
            name = *ticket;
    }
    caller->request.name = name;
    caller->request.key = RequestKey::parse(name, cluster_.zones).value();
    callers_.push_back(caller);
    attempt(caller);
}

void FakeCallers::attempt(const std::shared_ptr<Caller>& caller)
{
    if (caller->isDone || caller->attemptsLeft == 0)
        return;
    --caller->attemptsLeft;
    ++caller->openAttempts;
    ++statistics_.attempts;
    caller->request.deadline = cluster_.simulator.now() + timeout;
    FakeBalancer& entry = *cluster_.balancers[cluster_.simulator.draw(cluster_.balancers.size())];
    const FakeRequest request = caller->request;
    const auto isOpen = std::make_shared<bool>(true);
    const auto close = [caller, isOpen] {
        if (!*isOpen)
            return false;
        *isOpen = false;
        --caller->openAttempts;
        return true;
    };
    cluster_.simulator.after(milliseconds(1), [=, this, &entry] {
        // The connection is refused, so the caller knows that the attempt did not run and uses another balancer.
        if (!entry.isListening() && close()) {
            ++caller->attemptsLeft;
            return retryIn(caller, milliseconds(20));
        }
        entry.perform([=, this, &entry] {
            entry.request(request, [=, this](const FakeReply& reply) {
                cluster_.simulator.after(milliseconds(1), [=, this] {
                    if (close())
                        receiveReply(caller, reply);
                });
            });
        });
    });
    cluster_.simulator.after(timeout + milliseconds(100), [=, this] {
        if (!close())
            return;
        ++statistics_.unanswered;
        caller->isLastReplyNotRun = false;
        retryIn(caller, milliseconds(10));
    });
    if (cluster_.simulator.chance(duplicateProbability))
        retryIn(caller, milliseconds(100));
}

void FakeCallers::receiveReply(const std::shared_ptr<Caller>& caller, const FakeReply& reply)
{
    caller->isLastReplyNotRun = false;
    if (reply.answer) {
        ++statistics_.answered;
        caller->isDone = true;
        return checkAnswer(*caller, reply.answer);
    }
    if (reply.refusal.executed == Executed::Unknown) {
        ++statistics_.refusedUnknown;
        return retryIn(caller, reply.refusal.retryAfter);
    }
    ++statistics_.refusedNotRun;
    const auto runs = cluster_.backends.runs.find(caller->request.name);
    if (runs != cluster_.backends.runs.end() && runs->second.front() <= reply.decidedAt)
        ++statistics_.falseRefusals;
    caller->isLastReplyNotRun = caller->openAttempts == 0;
    retryIn(caller, reply.refusal.retryAfter);
}

void FakeCallers::retryIn(const std::shared_ptr<Caller>& caller, Duration wait)
{
    cluster_.simulator.after(wait, [=, this] { attempt(caller); });
}

void FakeCallers::checkAnswer(const Caller& caller, const SharedResponse& answer)
{
    const std::string expected = answerBodyOf(caller.request.name);
    if (answer->body == expected)
        return;
    if (expected.starts_with(answer->body))
        ++statistics_.incompleteAnswers;
    else
        ++statistics_.mixedAnswers;
}

FakeStatistics FakeCallers::statistics()
{
    FakeStatistics result = statistics_;
    for (const auto& [name, runs] : cluster_.backends.runs)
        result.doubleRuns += runs.size() - 1;
    for (const auto& caller : callers_) {
        if (caller->isLastReplyNotRun && cluster_.backends.runs.contains(caller->request.name))
            ++result.finalFalseRefusals;
    }
    return result;
}

}
