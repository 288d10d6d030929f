#include "Balancer/ActiveAttempts.h"

#include "Balancer/RequestRefusal.h"
#include "Balancer/ServiceLookup.h"
#include "Core/Hash.h"

namespace wisteriadock {

namespace {

    constexpr int notFound = 404;

    // Identifies the content of a request, to detect a key that is reused for other content.
    std::uint64_t fingerprintOf(const HttpRequest& request, ServiceId service)
    {
        std::uint64_t hash = hashString(request.method, service.value);
        hash = hashString(request.path, hash);
        return hashString(request.body, hash);
    }

}

ActiveAttempts::ActiveAttempts(const BalancerInstance& self, CancelHandler onCancelled)
    : self_(self)
    , onCancelled_(std::move(onCancelled))
{
}

ActiveAttempt& ActiveAttempts::open(const std::shared_ptr<Http2Exchange>& exchange, const CheckedRequest& checked,
    const Configuration& configuration, std::shared_ptr<const HttpRequest> forwarded)
{
    const AttemptId id = ++lastId_;
    const auto opened = std::make_shared<ActiveAttempt>();
    opened->exchange = exchange;
    opened->forwarded = std::move(forwarded);
    opened->since = Clock::now();
    const Service* service = findServiceOf(configuration, opened->request());
    opened->namesNoService = service == nullptr;
    opened->detail = checked.detail;
    opened->isKeyed = checked.key.has_value();

    KeyedAttempt& attempt = opened->attempt;
    attempt.id = id;
    attempt.key = checked.key.value_or(RequestKey {});
    attempt.service = service ? service->id : ServiceId {};
    attempt.fingerprint = fingerprintOf(opened->request(), attempt.service);
    attempt.deadline = opened->since + checked.timeLeft;
    attempt.problem = checked.problem;
    // Another balancer may already know the service and have run the key, so only the owner may answer "not run".
    if (!service && !attempt.problem)
        attempt.problem = RefusalReason::NoServer;

    attempts_.emplace(id, opened);
    exchange->onCancelled([this, alive = std::weak_ptr<int>(alive_), id] {
        if (!alive.expired())
            cancel(id);
    });
    return *opened;
}

ActiveAttempt* ActiveAttempts::find(AttemptId id)
{
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : found->second.get();
}

void ActiveAttempts::cancel(AttemptId id)
{
    const auto closed = close(id);
    if (!closed)
        return;
    if (!closed->forwarded)
        count(RequestOutcomeKind::Cancelled);
    onCancelled_(id);
}

void ActiveAttempts::answer(AttemptId id, HttpResponse response)
{
    const auto closed = close(id);
    if (!closed)
        return;
    if (closed->forwarded) {
        closed->exchange->respond(writeHopAnswer(
            { .owner = self_, .outcome = HopOutcome::Answer, .refusal = {}, .response = std::move(response) }));
        return;
    }
    count(RequestOutcomeKind::Answered);
    closed->exchange->respond(std::move(response));
}

void ActiveAttempts::refuse(AttemptId id, const Refusal& refusal)
{
    const auto closed = close(id);
    if (!closed)
        return;
    if (closed->forwarded) {
        closed->exchange->respond(
            writeHopAnswer({ .owner = self_, .outcome = HopOutcome::Refusal, .refusal = refusal, .response = {} }));
        return;
    }
    RequestProblem problem = problemOf(refusal, closed->detail);
    if (closed->namesNoService && refusal.reason == RefusalReason::NoServer) {
        problem.status = notFound;
        problem.title = "The request names no known service";
        problem.outcome = RequestOutcomeKind::UnknownService;
    }
    count(problem.outcome);
    closed->exchange->respond(problem.toResponse());
}

void ActiveAttempts::redirect(AttemptId id)
{
    if (const auto closed = close(id))
        closed->exchange->respond(
            writeHopAnswer({ .owner = self_, .outcome = HopOutcome::Redirect, .refusal = {}, .response = {} }));
}

std::shared_ptr<ActiveAttempt> ActiveAttempts::close(AttemptId id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return nullptr;
    auto closed = std::move(found->second);
    attempts_.erase(found);
    return closed;
}

}
