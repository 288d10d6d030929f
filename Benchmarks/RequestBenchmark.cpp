#include "Request/Admission.h"
#include "Request/RequestCheck.h"
#include "Request/RequestRouter.h"
#include "Request/RequestRunner.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace wisteriadock;
using std::chrono::milliseconds;

const ServiceId service = serviceIdOf("anmeldung");
const std::vector<std::string> zones { "wien-a", "wien-b", "stpoelten" };

MembersView makeView(std::size_t balancers, bool isOneZone)
{
    MembersView view;
    for (std::size_t i = 0; i < balancers; ++i) {
        Member member;
        member.id = balancerIdOf("balancer-" + std::to_string(i));
        member.availabilityZone = zones[isOneZone ? 0 : i % zones.size()];
        member.incarnation = 1;
        member.state = MemberState::Serving;
        view.members.push_back(member);
    }
    return view;
}

Configuration makeConfiguration(std::size_t servers, std::uint32_t slots, bool isOneZone)
{
    Configuration configuration;
    for (std::size_t i = 0; i < servers; ++i) {
        BackendServer server;
        server.id = { static_cast<std::uint32_t>(i + 1) };
        server.service = service;
        server.slots = slots;
        server.availabilityZone = zones[isOneZone ? 0 : i % zones.size()];
        configuration.backendServers.push_back(server);
    }
    return configuration;
}

// An owner and a backup that exchange messages without delay.
struct OwnerAndBackup {
    explicit OwnerAndBackup(const ClaimLimits& limits)
    {
        const MembersView view = makeView(2, true);
        ClaimTerm term { zones[0], 1, {}, {}, true };
        for (const Member& member : view.members) {
            RunnerSettings settings;
            settings.self = { member.id, member.incarnation };
            settings.claims = limits;
            holders.push_back(settings.self);
            runners.push_back(std::make_unique<RequestRunner>(settings));
            term.holders.push_back(settings.self);
        }
        std::sort(term.holders.begin(), term.holders.end());
        for (const auto& runner : runners) {
            runner->configure(makeConfiguration(2, 100, true), view, now);
            runner->learnTerm(term, now);
        }
        for (bool isIdle = false; !isIdle;)
            isIdle = !exchange(0) && !exchange(1);
    }

    bool exchange(std::size_t from)
    {
        bool hasSent = false;
        for (const RequestAction& action : runners[from]->takeActions()) {
            if (const auto* outgoing = std::get_if<OutgoingMessage>(&action)) {
                runners[outgoing->to == holders[0] ? 0 : 1]->receive(holders[from], outgoing->message, now);
                hasSent = true;
            } else if (const auto* start = std::get_if<StartWork>(&action))
                startedWork = start->work;
        }
        return hasSent;
    }

    // Processes one request at the owner and the backup, from its arrival to its response.
    void run(const RequestKey& key)
    {
        const std::size_t owner
            = runners[0]->buckets().ownership(claimBucketOf(key.digest)) == Ownership::Active ? 0 : 1;
        runners[owner]->arrive(
            KeyedAttempt { ++lastAttempt, key, 7, service, now + std::chrono::seconds(10), std::nullopt }, now);
        exchange(owner);
        exchange(1 - owner);
        exchange(owner);
        runners[owner]->workAnswered(startedWork, answer, now);
        exchange(owner);
    }

    // As run(); returns the seconds that the owner spent until the work was sent.
    double runTimed(const RequestKey& key)
    {
        const std::size_t owner
            = runners[0]->buckets().ownership(claimBucketOf(key.digest)) == Ownership::Active ? 0 : 1;
        const TimePoint start = Clock::now();
        runners[owner]->arrive(
            KeyedAttempt { ++lastAttempt, key, 7, service, now + std::chrono::seconds(10), std::nullopt }, now);
        const TimePoint asked = Clock::now();
        exchange(owner);
        const TimePoint acknowledged = Clock::now();
        exchange(1 - owner);
        const TimePoint sent = Clock::now();
        exchange(owner);
        runners[owner]->workAnswered(startedWork, answer, now);
        exchange(owner);
        return std::chrono::duration<double>((asked - start) + (sent - acknowledged)).count();
    }

    TimePoint now = TimePoint(std::chrono::hours(1));
    std::vector<BalancerInstance> holders;
    std::vector<std::unique_ptr<RequestRunner>> runners;
    SharedResponse answer = std::make_shared<HttpResponse>(HttpResponse { 200, {}, "confirmed" });
    WorkId startedWork = 0;
    AttemptId lastAttempt = 0;
};

std::vector<RequestKey> makeKeys(std::size_t count)
{
    std::vector<RequestKey> keys;
    for (std::size_t i = 0; i < count; ++i)
        keys.push_back(RequestKey::parse("wien-a.key-" + std::to_string(i), zones).value());
    return keys;
}

void checkAndRoute(benchmark::State& state)
{
    const MembersView view = makeView(7, false);
    RequestRouter router({ view.members[0].id, 1 }, zones);
    for (const std::string& zone : zones) {
        ClaimTerm term { zone, 3, {}, {}, true };
        for (const Member& member : view.members) {
            if (member.availabilityZone == zone)
                term.holders.push_back({ member.id, member.incarnation });
        }
        router.learnTerm(term);
    }
    const std::string ticket = makeTicket("wien-b", 3, 17, 4);
    for (auto _ : state) {
        const CheckedRequest checked = checkRequest({ "POST", ticket, "1500", 300, 900 }, zones, {});
        benchmark::DoNotOptimize(router.route(*checked.key, view));
    }
}

// Claims and answers one request per iteration; both balancers store the claim.
void claimAndAnswer(benchmark::State& state)
{
    const std::vector<RequestKey> keys = makeKeys(150'000);
    std::unique_ptr<OwnerAndBackup> pair;
    std::size_t next = keys.size();
    for (auto _ : state) {
        if (next == keys.size()) {
            state.PauseTiming();
            pair = std::make_unique<OwnerAndBackup>(ClaimLimits {});
            next = 0;
            state.ResumeTiming();
        }
        pair->run(keys[next++]);
    }
    state.SetItemsProcessed(state.iterations());
}

// The time of the owner until the work is sent: arrival, slot, claim, acknowledgement.
void decideAtOwner(benchmark::State& state)
{
    const std::vector<RequestKey> keys = makeKeys(150'000);
    std::unique_ptr<OwnerAndBackup> pair;
    std::size_t next = keys.size();
    for (auto _ : state) {
        if (next == keys.size()) {
            pair = std::make_unique<OwnerAndBackup>(ClaimLimits {});
            next = 0;
        }
        state.SetIterationTime(pair->runTimed(keys[next++]));
    }
}

void answerRetry(benchmark::State& state)
{
    const std::vector<RequestKey> keys = makeKeys(1000);
    OwnerAndBackup pair({});
    for (const RequestKey& key : keys)
        pair.run(key);
    const std::size_t owner
        = pair.runners[0]->buckets().ownership(claimBucketOf(keys[0].digest)) == Ownership::Active ? 0 : 1;
    for (auto _ : state) {
        pair.runners[owner]->arrive(
            KeyedAttempt { ++pair.lastAttempt, keys[0], 7, service, pair.now + std::chrono::seconds(10), std::nullopt },
            pair.now);
        benchmark::DoNotOptimize(pair.runners[owner]->takeActions());
    }
}

void bytesPerClaim(benchmark::State& state)
{
    constexpr std::size_t count = 200'000;
    const std::vector<RequestKey> keys = makeKeys(count);
    const bool hasAnswer = state.range(0) != 0;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        ClaimTable table(ClaimLimits {});
        for (const RequestKey& key : keys) {
            ClaimRecord record { 7, 0, 1, {}, TimePoint(), ClaimState::Answered, nullptr };
            if (hasAnswer)
                record.answer = std::make_shared<HttpResponse>(HttpResponse { 200, {}, std::string(100, 'a') });
            table.put(claimBucketOf(key.digest), key.digest, std::move(record));
        }
        const std::size_t used = mallinfo2().uordblks - before;
        state.counters["bytes_per_claim"] = static_cast<double>(used) / count;
    }
}

// Six balancers and 15 servers of two slots in virtual time. A claim takes 2 ms and the work 20 to 180 ms. Callers wait
// for 1 s and retry refused requests after 1 to 3 s, until 10 s after their first attempt.
class LoadSimulation {
public:
    LoadSimulation(double load, std::uint64_t seed)
        : load_(load)
        , random_(seed)
    {
        for (const Member& member : view_.members) {
            holders_.push_back({ member.id, member.incarnation });
            admissions_.emplace_back(holders_.back(), AdmissionLimits {}, seed + holders_.size());
            admissions_.back().configure(configuration_, view_, now_);
        }
    }

    void run()
    {
        const double perSecond = load_ * 30 / 0.102;
        std::exponential_distribution<double> gap(perSecond);
        TimePoint arrival = now_;
        const TimePoint end = now_ + std::chrono::seconds(60);
        while (arrival < end) {
            arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
            schedule(arrival, [this] { sendRequest(now_); });
        }
        for (TimePoint time = now_; time < end; time += milliseconds(20)) {
            schedule(time, [this] {
                for (std::size_t i = 0; i < admissions_.size(); ++i) {
                    admissions_[i].tick(now_);
                    collect(i);
                }
            });
        }
        while (!events_.empty() && events_.begin()->first < end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        std::sort(refusalTimes_.begin(), refusalTimes_.end());
    }

    double goodput() const { return static_cast<double>(inTime_) / 60 / (30 / 0.102); }
    std::uint64_t late() const { return late_; }
    double messagesPerBalancerSecond() const { return static_cast<double>(messages_) / 60 / 6; }
    double refusalMilliseconds(double quantile) const
    {
        return refusalTimes_.empty() ? 0
                                     : refusalTimes_[static_cast<std::size_t>(quantile * (refusalTimes_.size() - 1))];
    }

private:
    struct PendingRequest {
        TimePoint firstArrival;
        TimePoint arrival;
        TimePoint deadline;
    };

    void schedule(TimePoint time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

    void sendRequest(TimePoint firstArrival)
    {
        const std::size_t index = random_() % admissions_.size();
        const WorkId work = ++lastWork_;
        pendingRequests_[work] = { firstArrival, now_, now_ + std::chrono::seconds(1) };
        admissions_[index].request(work, service, pendingRequests_[work].deadline, now_);
        collect(index);
    }

    void collect(std::size_t index)
    {
        for (const SlotGrant& grant : admissions_[index].takeGrants()) {
            const Duration time = milliseconds(2) + std::chrono::microseconds(20'000 + random_() % 160'000);
            schedule(now_ + time, [this, index, work = grant.work] {
                (now_ <= pendingRequests_[work].deadline ? inTime_ : late_)++;
                pendingRequests_.erase(work);
                admissions_[index].release(work, true, now_);
                collect(index);
            });
        }
        for (const SlotRefusal& refusal : admissions_[index].takeRefusals()) {
            const PendingRequest pending = pendingRequests_[refusal.work];
            pendingRequests_.erase(refusal.work);
            refusalTimes_.push_back(std::chrono::duration<double, std::milli>(now_ - pending.arrival).count());
            const Duration retryDelay = milliseconds(1000 + random_() % 2000);
            if (now_ + retryDelay < pending.firstArrival + std::chrono::seconds(10))
                schedule(now_ + retryDelay, [this, pending] { sendRequest(pending.firstArrival); });
        }
        for (const OutgoingMessage& outgoing : admissions_[index].takeMessages())
            schedule(now_ + milliseconds(1), [this, outgoing, index] { receive(outgoing, index); });
    }

    void receive(const OutgoingMessage& outgoing, std::size_t from)
    {
        ++messages_;
        const std::size_t to = std::find(holders_.begin(), holders_.end(), outgoing.to) - holders_.begin();
        std::visit(
            [&](const auto& message) {
                if constexpr (requires { admissions_[to].handle(holders_[from], message, now_); })
                    admissions_[to].handle(holders_[from], message, now_);
            },
            outgoing.message);
        collect(to);
    }

    double load_;
    std::mt19937_64 random_;
    MembersView view_ = makeView(6, false);
    Configuration configuration_ = makeConfiguration(15, 2, false);
    std::vector<BalancerInstance> holders_;
    std::deque<Admission> admissions_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::map<WorkId, PendingRequest> pendingRequests_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    WorkId lastWork_ = 0;
    std::uint64_t inTime_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t messages_ = 0;
    std::vector<double> refusalTimes_;
};

// The argument is the load in percent of capacity. Goodput is the rate of requests answered in time, as a fraction of
// capacity.
void goodput(benchmark::State& state)
{
    for (auto _ : state) {
        LoadSimulation run(static_cast<double>(state.range(0)) / 100, 1);
        run.run();
        state.counters["goodput"] = run.goodput();
        state.counters["late"] = static_cast<double>(run.late());
        state.counters["refusal_p50_ms"] = run.refusalMilliseconds(0.5);
        state.counters["refusal_p99_ms"] = run.refusalMilliseconds(0.99);
        state.counters["messages_per_balancer_s"] = run.messagesPerBalancerSecond();
    }
}

BENCHMARK(checkAndRoute);
BENCHMARK(claimAndAnswer);
BENCHMARK(decideAtOwner)->UseManualTime();
BENCHMARK(answerRetry);
BENCHMARK(bytesPerClaim)->Arg(0)->Arg(1)->Iterations(1);
BENCHMARK(goodput)->Arg(50)->Arg(100)->Arg(200)->Arg(400)->Iterations(1)->Unit(benchmark::kMillisecond);

}

BENCHMARK_MAIN();
