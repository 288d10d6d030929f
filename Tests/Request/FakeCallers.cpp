#include "FakeCallers.h"

namespace wisteriadock::testing {

FakeTally& FakeTally::operator+=(const FakeTally& other)
{
    keys += other.keys;
    tries += other.tries;
    answered += other.answered;
    refusedNotRun += other.refusedNotRun;
    refusedUnknown += other.refusedUnknown;
    unheard += other.unheard;
    doubleRuns += other.doubleRuns;
    falseRefusals += other.falseRefusals;
    finallyFalse += other.finallyFalse;
    mixedAnswers += other.mixedAnswers;
    incompleteAnswers += other.incompleteAnswers;
    faults += other.faults;
    return *this;
}

FakeCallers::FakeCallers(FakeCluster& cluster)
    : cluster_(cluster)
{
}

void FakeCallers::begin(int tries)
{
    auto caller = std::make_shared<Caller>();
    caller->triesLeft = tries;
    std::string name = "key-" + std::to_string(tally_.keys++);
    FakeBalancer& issuer = *cluster_.balancers[cluster_.world.draw(cluster_.balancers.size())];
    if (cluster_.world.chance(ticketShare) && issuer.isUp()) {
        if (const auto ticket = issuer.runner().issueTicket(cluster_.world.draw(1ULL << 60), tally_.keys))
            name = *ticket;
    }
    caller->request.name = name;
    caller->request.key = RequestKey::parse(name, cluster_.zones).value();
    callers_.push_back(caller);
    attempt(caller);
}

void FakeCallers::attempt(const std::shared_ptr<Caller>& caller)
{
    if (caller->isDone || caller->triesLeft == 0)
        return;
    --caller->triesLeft;
    ++caller->triesOpen;
    ++tally_.tries;
    caller->request.deadline = cluster_.world.now() + patience;
    FakeBalancer& entry = *cluster_.balancers[cluster_.world.draw(cluster_.balancers.size())];
    const FakeRequest request = caller->request;
    const auto isOpen = std::make_shared<bool>(true);
    const auto close = [caller, isOpen] {
        if (!*isOpen)
            return false;
        *isOpen = false;
        --caller->triesOpen;
        return true;
    };
    cluster_.world.after(milliseconds(1), [=, this, &entry] {
        // Nobody accepts the connection: the caller knows that the try went nowhere, and takes another balancer.
        if (!entry.isListening() && close()) {
            ++caller->triesLeft;
            return retryIn(caller, milliseconds(20));
        }
        entry.perform([=, this, &entry] {
            entry.request(request, [=, this](const FakeReply& reply) {
                cluster_.world.after(milliseconds(1), [=, this] {
                    if (close())
                        hear(caller, reply);
                });
            });
        });
    });
    cluster_.world.after(patience + milliseconds(100), [=, this] {
        if (!close())
            return;
        ++tally_.unheard;
        caller->isLastWordNotRun = false;
        retryIn(caller, milliseconds(10));
    });
    if (cluster_.world.chance(impatience))
        retryIn(caller, milliseconds(100));
}

void FakeCallers::hear(const std::shared_ptr<Caller>& caller, const FakeReply& reply)
{
    caller->isLastWordNotRun = false;
    if (reply.answer) {
        ++tally_.answered;
        caller->isDone = true;
        return checkAnswer(*caller, reply.answer);
    }
    if (reply.refusal.executed == Executed::Unknown) {
        ++tally_.refusedUnknown;
        return retryIn(caller, reply.refusal.retryAfter);
    }
    ++tally_.refusedNotRun;
    const auto runs = cluster_.backends.runs.find(caller->request.name);
    if (runs != cluster_.backends.runs.end() && runs->second.front() <= reply.decidedAt)
        ++tally_.falseRefusals;
    caller->isLastWordNotRun = caller->triesOpen == 0;
    retryIn(caller, reply.refusal.retryAfter);
}

void FakeCallers::retryIn(const std::shared_ptr<Caller>& caller, Duration wait)
{
    cluster_.world.after(wait, [=, this] { attempt(caller); });
}

void FakeCallers::checkAnswer(const Caller& caller, const SharedResponse& answer)
{
    const std::string expected = answerBodyOf(caller.request.name);
    if (answer->body == expected)
        return;
    if (expected.starts_with(answer->body))
        ++tally_.incompleteAnswers;
    else
        ++tally_.mixedAnswers;
}

FakeTally FakeCallers::tally()
{
    FakeTally result = tally_;
    for (const auto& [name, runs] : cluster_.backends.runs)
        result.doubleRuns += runs.size() - 1;
    for (const auto& caller : callers_) {
        if (caller->isLastWordNotRun && cluster_.backends.runs.contains(caller->request.name))
            ++result.finallyFalse;
    }
    return result;
}

}
