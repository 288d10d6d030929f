#include "RunnerGroup.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wisteriadock::testing {

ServiceId testService() { return serviceIdOf("anmeldung"); }

RunnerGroup::RunnerGroup(std::size_t count, const RunnerSettings& settings, std::uint32_t slots)
{
    Configuration configuration;
    BackendServer server;
    server.name = "host";
    server.id = backendServerIdOf(server.name);
    server.service = testService();
    server.slots = slots;
    configuration.backendServers = { server };
    MembersView view;
    for (std::size_t i = 0; i < count; ++i) {
        Member member;
        member.id = balancerIdOf("balancer-" + std::to_string(i));
        member.availabilityZone = "walu";
        member.incarnation = 1;
        member.state = MemberState::Serving;
        view.members.push_back(member);
    }
    for (const Member& member : view.members) {
        RunnerSettings own = settings;
        own.self = { member.id, member.incarnation };
        nodes_.push_back({ own.self, std::make_unique<RequestRunner>(own), {} });
        nodes_.back().runner->configure(configuration, view, now());
    }
    term_.zone = "walu";
}

ClaimTerm RunnerGroup::makeTerm(const std::vector<std::size_t>& holders)
{
    if (term_.epoch > 0)
        term_.previous.insert(term_.previous.begin(), { term_.epoch, term_.holders });
    ++term_.epoch;
    term_.holders.clear();
    for (const std::size_t index : holders)
        term_.holders.push_back(holder(index));
    return term_;
}

void RunnerGroup::learn(const ClaimTerm& term, const std::vector<std::size_t>& who)
{
    for (const std::size_t index : who)
        nodes_[index].runner->learnTerm(term, now());
}

ClaimTerm RunnerGroup::settle(const std::vector<std::size_t>& holders)
{
    ClaimTerm term = makeTerm(holders);
    learn(term, holders);
    deliver();
    return term;
}

std::size_t RunnerGroup::indexOf(const BalancerInstance& wanted) const
{
    const auto found
        = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& node) { return node.holder == wanted; });
    return found - nodes_.begin();
}

std::vector<RunnerGroup::Envelope> RunnerGroup::collect()
{
    std::vector<Envelope> envelopes;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        for (const RequestAction& action : nodes_[index].runner->takeActions()) {
            if (const auto* message = std::get_if<OutgoingMessage>(&action))
                envelopes.push_back({ index, message->to, message->message });
            else
                nodes_[index].actions.push_back(action);
        }
    }
    return envelopes;
}

void RunnerGroup::deliver(const Filter& filter)
{
    for (std::vector<Envelope> envelopes = collect(); !envelopes.empty(); envelopes = collect()) {
        for (const Envelope& envelope : envelopes) {
            const std::size_t to = indexOf(envelope.to);
            const Verdict verdict = filter ? filter(envelope.from, to, envelope.message) : Verdict::Deliver;
            if (verdict == Verdict::Hold)
                held_.push_back(envelope);
            else if (verdict == Verdict::Deliver)
                nodes_[to].runner->receive(nodes_[envelope.from].holder, envelope.message, now());
        }
    }
}

void RunnerGroup::releaseHeld()
{
    for (const Envelope& envelope : std::exchange(held_, {}))
        nodes_[indexOf(envelope.to)].runner->receive(nodes_[envelope.from].holder, envelope.message, now());
    deliver();
}

void RunnerGroup::advance(Duration time)
{
    clock_.advance(time);
    for (Node& node : nodes_)
        node.runner->tick(now());
}

RequestKey RunnerGroup::keyOf(std::size_t owner, std::size_t backup, const std::string& prefix)
{
    for (int i = 0;; ++i) {
        const RequestKey key = RequestKey::parse(prefix + "-" + std::to_string(i), { "walu" }).value();
        const auto pair = term_.pairOf(claimBucketOf(key.digest));
        if (pair->owner == holder(owner) && pair->backup == holder(backup))
            return key;
    }
}

AttemptId RunnerGroup::arrive(std::size_t at, const RequestKey& key, Duration timeout)
{
    nodes_[at].runner->arrive(
        KeyedAttempt { ++lastAttempt_, key, 7, testService(), now() + timeout, std::nullopt }, now());
    return lastAttempt_;
}

AttemptId RunnerGroup::arriveInvalid(std::size_t at, const RequestKey& key, RefusalReason problem)
{
    KeyedAttempt attempt { ++lastAttempt_, key, 7, testService(), now() + std::chrono::seconds(10), problem };
    nodes_[at].runner->arrive(attempt, now());
    return lastAttempt_;
}

Refusal RunnerGroup::takeRefusal(std::size_t index)
{
    const std::vector<RefuseAttempt> refusals = take<RefuseAttempt>(index);
    EXPECT_EQ(refusals.size(), 1u);
    return refusals.empty() ? Refusal {} : refusals.front().refusal;
}

}
