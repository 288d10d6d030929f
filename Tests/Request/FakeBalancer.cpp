#include "FakeBalancer.h"

#include "Core/Hash.h"

namespace wisteriadock::testing {

namespace {

    constexpr milliseconds heartbeatInterval { 100 };
    constexpr milliseconds memberLease { 400 };
    constexpr int maxHops = 4;

}

FakeCluster::FakeCluster(std::uint64_t seed, std::uint32_t balancersPerZone, std::uint32_t serversPerZone)
    : simulator(seed)
    , backends(simulator, partitions, zones, serversPerZone)
    , platform(simulator, partitions)
{
    for (const std::string& zone : zones) {
        for (std::uint32_t i = 0; i < balancersPerZone; ++i)
            balancers.push_back(std::make_unique<FakeBalancer>(*this, zone + "-" + std::to_string(i), zone));
    }
    for (const auto& balancer : balancers)
        byId[balancer->id()] = balancer.get();
}

FakeCluster::~FakeCluster() = default;

void FakeCluster::start()
{
    for (const auto& balancer : balancers)
        balancer->kill(milliseconds(0));
    sendHeartbeats();
    tick();
}

void FakeCluster::sendHeartbeats()
{
    for (const auto& from : balancers) {
        for (const auto& to : balancers) {
            const bool isDelivered = from->isUp() && !from->isPaused() && to->isUp() && !to->isPaused()
                && !partitions.isBlocked(from->zone(), to->zone());
            if (isDelivered)
                to->receiveHeartbeat(*from);
        }
    }
    for (const auto& balancer : balancers) {
        if (balancer->isUp() && !balancer->isPaused())
            balancer->publishView();
    }
    simulator.after(heartbeatInterval, [this] { sendHeartbeats(); });
}

void FakeCluster::tick()
{
    for (const auto& balancer : balancers) {
        if (balancer->isUp() && !balancer->isPaused())
            balancer->tick();
    }
    simulator.after(milliseconds(20), [this] { tick(); });
}

void FakeCluster::transmit(const FakeBalancer& from, const BalancerInstance& to,
    const std::function<void(FakeBalancer&)>& event, bool isReliable)
{
    const std::string& fromZone = from.zone();
    const int copies = isReliable
        ? 1
        : (simulator.chance(messageLossProbability) ? 0 : (simulator.chance(messageLossProbability) ? 2 : 1));
    for (int i = 0; i < copies; ++i) {
        simulator.after(simulator.between(microseconds(300), microseconds(1500)), [=, this] {
            FakeBalancer* balancer = byId.at(to.id);
            if (!balancer->isUp() || balancer->holder() != to || partitions.isBlocked(fromZone, balancer->zone()))
                return;
            balancer->perform([=] { event(*balancer); });
        });
    }
}

FakeBalancer* FakeCluster::ownerOf(const RequestKey& key)
{
    const ClaimTerm* newest = nullptr;
    for (const auto& balancer : balancers) {
        const ClaimTerm* term = balancer->isUp() ? balancer->termOf(zones[key.homeZone]) : nullptr;
        if (term && (!newest || term->epoch > newest->epoch))
            newest = term;
    }
    const auto pair = newest ? newest->pairOf(claimBucketOf(key.digest)) : std::nullopt;
    return pair ? byId.at(pair->owner.id) : nullptr;
}

FakeBalancer::FakeBalancer(FakeCluster& cluster, std::string name, std::string zone)
    : cluster_(cluster)
    , name_(std::move(name))
    , zone_(std::move(zone))
    , id_(balancerIdOf(name_))
{
}

void FakeBalancer::start()
{
    ++incarnation_;
    isUp_ = true;
    isLeaving_ = false;
    pausedUntil_ = TimePoint();
    state_ = std::make_unique<ProcessState>();
    RunnerSettings settings;
    settings.self = holder();
    settings.retries.rule = cluster_.retryRule;
    settings.seed = cluster_.simulator.draw(1'000'000);
    state_->runner = std::make_unique<RequestRunner>(settings);
    state_->router = std::make_unique<RequestRouter>(holder(), cluster_.zones);
    state_->forwards = std::make_unique<PendingForwardTable>(holder(), milliseconds(300));
    state_->terms = std::make_unique<TermReconciler>(zone_, id_, TermTimes {});
    state_->lastHeartbeat = cluster_.simulator.now();
}

void FakeBalancer::kill(Duration downTime)
{
    isUp_ = false;
    const std::uint64_t killed = incarnation_;
    cluster_.simulator.after(downTime, [this, killed] {
        if (!isUp_ && incarnation_ == killed)
            start();
    });
}

void FakeBalancer::pause(Duration time) { pausedUntil_ = std::max(pausedUntil_, cluster_.simulator.now() + time); }

void FakeBalancer::leave() { isLeaving_ = true; }

void FakeBalancer::perform(const std::function<void()>& event)
{
    const std::uint64_t incarnation = incarnation_;
    if (!isUp_)
        return;
    if (!isPaused())
        return event();
    // A paused process handles the events of the pause when it resumes.
    cluster_.simulator.after(pausedUntil_ - cluster_.simulator.now(), [=, this] {
        if (isUp_ && incarnation_ == incarnation)
            perform(event);
    });
}

void FakeBalancer::receiveHeartbeat(const FakeBalancer& other)
{
    Member member;
    member.id = other.id_;
    member.name = other.name_;
    member.availabilityZone = other.zone_;
    member.incarnation = other.incarnation_;
    member.state = other.isLeaving_ ? MemberState::Leaving : MemberState::Serving;
    state_->heartbeats[other.id_] = { member, cluster_.simulator.now() };
    // Only some heartbeats carry records, so that balancers disagree for a while.
    if (!cluster_.simulator.chance(cluster_.termGossipProbability))
        return;
    for (const std::string& zone : cluster_.zones) {
        const ClaimTerm* term = other.termOf(zone);
        if (!term || !state_->router->learnTerm(*term) || zone != zone_)
            continue;
        state_->terms->learnFromPeer(*term, cluster_.simulator.now());
        state_->runner->learnTerm(*term, cluster_.simulator.now());
    }
}

void FakeBalancer::publishView()
{
    const TimePoint now = cluster_.simulator.now();
    MembersView& view = state_->view;
    view.self = id_;
    view.isolated = now - state_->lastHeartbeat > memberLease;
    state_->lastHeartbeat = now;
    std::vector<Member> members;
    for (const auto& [id, heartbeat] : state_->heartbeats) {
        Member member = heartbeat.first;
        if (now - heartbeat.second > memberLease)
            member.state = MemberState::Dead;
        members.push_back(member);
    }
    if (members != view.members) {
        view.members = std::move(members);
        ++view.revision;
        state_->runner->configure(cluster_.backends.configuration(), view, now);
    }
    for (const Member& member : view.members) {
        if (member.state != MemberState::Dead)
            continue;
        for (const AbandonedForward& lost : state_->forwards->removeOwner({ member.id, member.incarnation }))
            refuseUnknown(lost.id, lost.reason);
    }
    state_->terms->learnMembers(view, now);
    executeActions();
}

void FakeBalancer::tick()
{
    const TimePoint now = cluster_.simulator.now();
    state_->terms->tick(now);
    state_->runner->tick(now);
    for (const AbandonedForward& lost : state_->forwards->expire(now))
        refuseUnknown(lost.id, lost.reason);
    executeActions();
    if (isLeaving_ && state_->runner->mayStop(now) && state_->attempts.empty())
        kill(milliseconds(300));
}

void FakeBalancer::request(const FakeRequest& request, const FakeReplyTo& reply)
{
    const AttemptId id = ++state_->lastAttempt;
    state_->attempts[id] = { request, reply, {}, {}, 0 };
    route(id);
}

void FakeBalancer::route(AttemptId id)
{
    OpenAttempt& openAttempt = state_->attempts[id];
    const TimePoint now = cluster_.simulator.now();
    if (now >= openAttempt.request.deadline)
        return refuseUnknown(id, RefusalReason::DeadlinePassed);
    const Route found = state_->router->route(openAttempt.request.key, state_->view);
    if (found.kind == AttemptRouteKind::Unreachable || ++openAttempt.hops > maxHops)
        return refuseUnknown(id, RefusalReason::HomeUnreachable);
    if (found.kind == AttemptRouteKind::Local) {
        KeyedAttempt attempt { id, openAttempt.request.key, hashString(openAttempt.request.name),
            cluster_.backends.configuration().services[0].id, openAttempt.request.deadline, std::nullopt };
        state_->runner->arrive(attempt, now);
        return executeActions();
    }
    const ForwardToken token
        = state_->forwards->open(id, openAttempt.request.key.digest, found.owner, openAttempt.request.deadline, now);
    cluster_.transmit(
        *this, found.owner,
        [entry = holder(), token, request = openAttempt.request](
            FakeBalancer& owner) { owner.arriveForwarded(entry, token, request); },
        true);
}

void FakeBalancer::arriveForwarded(const BalancerInstance& entry, const ForwardToken& token, const FakeRequest& request)
{
    const TimePoint now = cluster_.simulator.now();
    cluster_.transmit(*this, entry,
        [owner = holder(), token](FakeBalancer& balancer) { balancer.state_->forwards->acknowledge(owner, token); });
    const AttemptId id = ++state_->lastAttempt;
    state_->attempts[id] = { request, {}, entry, token, 0 };
    if (now >= request.deadline)
        return refuseUnknown(id, RefusalReason::DeadlinePassed);
    KeyedAttempt attempt { id, request.key, hashString(request.name), cluster_.backends.configuration().services[0].id,
        request.deadline, std::nullopt };
    state_->runner->arrive(attempt, now);
    executeActions();
}

void FakeBalancer::refuseUnknown(AttemptId id, RefusalReason reason)
{
    finish(id, { nullptr, { reason, Executed::Unknown, std::chrono::seconds(1) }, cluster_.simulator.now() });
}

void FakeBalancer::finish(AttemptId id, const FakeReply& reply)
{
    const auto found = state_->attempts.find(id);
    if (found == state_->attempts.end())
        return;
    const OpenAttempt openAttempt = found->second;
    state_->attempts.erase(found);
    if (openAttempt.reply)
        return openAttempt.reply(reply);
    cluster_.transmit(*this, openAttempt.entry,
        [owner = holder(), token = openAttempt.token, key = openAttempt.request.key.digest, reply](
            FakeBalancer& balancer) { balancer.settle(owner, token, key, reply); });
}

void FakeBalancer::settle(
    const BalancerInstance& from, const ForwardToken& token, const KeyDigest& key, const FakeReply& reply)
{
    const std::uint64_t bytes = reply.answer ? reply.answer->body.size() : 0;
    const PendingForwardTable::Resolved settled = state_->forwards->resolve(from, { token, key, bytes, bytes });
    if (settled.delivery == Delivery::Deliver)
        finish(settled.id, reply);
}

void FakeBalancer::settleRedirect(const BalancerInstance& from, const ForwardToken& token)
{
    if (const auto id = state_->forwards->redirect(from, token))
        routeLater(*id);
}

void FakeBalancer::routeLater(AttemptId id)
{
    // The newer record arrives with the next heartbeat.
    cluster_.simulator.after(milliseconds(110), [this, id, incarnation = incarnation_] {
        perform([=, this] {
            if (incarnation_ == incarnation && state_->attempts.contains(id))
                route(id);
        });
    });
}

void FakeBalancer::receive(const BalancerInstance& from, const RequestMessage& message)
{
    state_->runner->receive(from, message, cluster_.simulator.now());
    executeActions();
}

void FakeBalancer::executeActions()
{
    for (const RequestAction& action : state_->runner->takeActions())
        execute(action);
    for (const TermAction& action : state_->terms->takeActions())
        execute(action);
}

void FakeBalancer::execute(const RequestAction& action)
{
    const TimePoint now = cluster_.simulator.now();
    if (const auto* message = std::get_if<OutgoingMessage>(&action))
        cluster_.transmit(*this, message->to,
            [from = holder(), content = message->message](FakeBalancer& balancer) { balancer.receive(from, content); });
    else if (const auto* start = std::get_if<StartWork>(&action))
        startWork(*start);
    else if (const auto* answer = std::get_if<AnswerAttempt>(&action))
        finish(answer->id, { answer->answer, {}, now });
    else if (const auto* refusal = std::get_if<RefuseAttempt>(&action))
        finish(refusal->id, { nullptr, refusal->refusal, now });
    else if (const auto* redirect = std::get_if<RedirectAttempt>(&action)) {
        const auto found = state_->attempts.find(redirect->id);
        if (found == state_->attempts.end())
            return;
        const OpenAttempt openAttempt = found->second;
        if (openAttempt.reply)
            return routeLater(redirect->id);
        state_->attempts.erase(found);
        cluster_.transmit(
            *this, openAttempt.entry, [owner = holder(), token = openAttempt.token](FakeBalancer& balancer) {
                balancer.settleRedirect(owner, token);
            });
    }
}

void FakeBalancer::startWork(const StartWork& start)
{
    const auto found = state_->attempts.find(start.content);
    if (found == state_->attempts.end())
        return;
    // A pause can fall between the decision and the send.
    const FakeRequest request = found->second.request;
    cluster_.simulator.after(microseconds(cluster_.simulator.draw(200)), [=, this, incarnation = incarnation_] {
        perform([=, this] {
            if (incarnation_ != incarnation)
                return;
            cluster_.backends.send(zone_, start.server, request.name, start.deadline, [=, this](const auto& reply) {
                perform([=, this] {
                    if (incarnation_ != incarnation)
                        return;
                    const TimePoint now = cluster_.simulator.now();
                    if (reply.answer)
                        state_->runner->workAnswered(start.work, reply.answer, now);
                    else
                        state_->runner->workFailed(start.work, reply.failure, now);
                    executeActions();
                });
            });
        });
    });
}

void FakeBalancer::execute(const TermAction& action)
{
    const auto ifAlive = [this, incarnation = incarnation_](const std::function<void()>& event) {
        perform([=, this] {
            if (incarnation_ != incarnation)
                return;
            event();
            executeActions();
        });
    };
    if (const auto* write = std::get_if<WriteTerm>(&action))
        cluster_.platform.write(zone_, *write, [=, this](TermWrite outcome, std::uint64_t revision) {
            ifAlive([=, this] { state_->terms->writeEnded(outcome, revision, cluster_.simulator.now()); });
        });
    else if (std::get_if<ReadTerm>(&action))
        cluster_.platform.read(zone_, zone_, [=, this](const std::optional<FakePlatform::Record>& record) {
            ifAlive([=, this] {
                if (!record)
                    state_->terms->readFailed(cluster_.simulator.now());
                else if (record->term)
                    state_->terms->learnRecord(*record->term, record->revision, cluster_.simulator.now());
                else
                    state_->terms->learnAbsent(cluster_.simulator.now());
            });
        });
    else if (const auto* adopt = std::get_if<AdoptTerm>(&action)) {
        state_->router->learnTerm(adopt->term);
        state_->runner->learnTerm(adopt->term, cluster_.simulator.now());
    }
}

}
