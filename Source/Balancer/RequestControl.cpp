#include "Balancer/RequestControl.h"

#include "Balancer/BalancerInstanceText.h"
#include "Balancer/RequestRefusal.h"
#include "Request/RequestRouter.h"
#include "Request/RetryAfter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickPeriod = 20ms;
    // The home zone of all keys when the settings list no availability zones.
    constexpr std::string_view fleetZone = "fleet";
    constexpr int maxHops = 4;
    // About the time that a new ownership record takes to spread.
    constexpr auto rerouteDelay = 100ms;
    // How long an attempt waits for the first ownership record after the start of the balancer.
    constexpr auto firstRecordTimeout = 2000ms;
    constexpr auto retryDelay = 1000ms;
    // All repeats fit within the time after which the forwarding balancer gives up the attempt.
    constexpr auto acknowledgementPeriod = 200ms;
    constexpr int acknowledgementRepeats = 2;
    constexpr auto loanMargin = 5000ms;

    RunnerSettings runnerSettingsOf(const RequestControlSettings& settings)
    {
        RunnerSettings runner;
        runner.self = settings.self;
        runner.retries.rule = settings.retryRule;
        runner.maxDeadline = settings.limits.maxDeadline;
        runner.admission.longestLoan = settings.limits.maxDeadline + loanMargin;
        runner.seed = settings.seed;
        return runner;
    }

    std::vector<std::string> zonesOf(const RequestControlSettings& settings)
    {
        return settings.zones.empty() ? std::vector<std::string> { std::string(fleetZone) } : settings.zones;
    }

    std::size_t headerBytesOf(const HttpRequest& request)
    {
        std::size_t bytes = request.method.size() + request.path.size() + request.authority.size();
        for (const HttpHeader& header : request.headers)
            bytes += header.name.size() + header.value.size();
        return bytes;
    }

    bool reportsNotExecuted(const HttpResponse& response) { return response.header("x-executed") == "no"; }

    std::chrono::milliseconds retryAfterOf(const HttpResponse& response)
    {
        const auto seconds = readNumber(response.header("retry-after"));
        return std::chrono::seconds(seconds ? std::min<std::uint64_t>(seconds.value(), 60) : 0);
    }

}

RequestControl::RequestControl(boost::asio::io_context& context, PeerSocket& socket, PlatformClient& platform,
    const RequestControlSettings& settings)
    : settings_(settings)
    , homeZone_(settings.zones.empty() ? std::string(fleetZone) : settings.availabilityZone)
    , timer_(context)
    , random_(settings.seed)
    , attempts_(settings.self, [this](AttemptId id) { handleCancellation(id); })
    , runner_(runnerSettingsOf(settings))
    , router_(std::make_unique<RequestRouter>(settings.self, zonesOf(settings)))
    , transport_(context, socket, settings.self, settings.http,
          [this](const BalancerInstance& from, const BalancerMessage& message) { handleMessage(from, message); })
    , terms_(platform, *router_, transport_, homeZone_, settings.self, settings.seed,
          [this](const ClaimTerm& term) { adopt(term); })
    , forwarder_(context, transport_, settings.self, settings.http,
          { .onAnswer = [this](AttemptId id, HttpResponse response) { attempts_.answer(id, std::move(response)); },
              .onRefusal = [this](AttemptId id, const Refusal& refusal) { attempts_.refuse(id, refusal); },
              .onLost = [this](AttemptId id, RefusalReason reason) { refuseAsUnknown(id, reason); },
              .onRedirect =
                  [this](AttemptId id, const BalancerInstance& owner) {
                      terms_.sendDigest(owner);
                      routeLater(id, Clock::now());
                  } })
    , sender_(context, settings.http, [this](WorkId work, BackendServerId server, HttpOutcome outcome) {
        finishWork(work, server, std::move(outcome));
    })
{
    scheduleTick();
}

RequestControl::~RequestControl() { alive_.reset(); }

void RequestControl::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    configuration_ = std::move(configuration);
    sender_.applyConfiguration(*configuration_);
    runner_.configure(*configuration_, *transport_.view(), Clock::now());
    performActions();
}

void RequestControl::applyMembers(const std::shared_ptr<const MembersView>& view)
{
    const TimePoint now = Clock::now();
    transport_.applyMembers(view);
    runner_.configure(*configuration_, *view, now);
    forwarder_.applyMembers();
    terms_.applyMembers(homeZoneView(), now);
    performActions();
}

// Without a list of zones, the ownership record covers all balancers regardless of their zone.
MembersView RequestControl::homeZoneView() const
{
    MembersView view = *transport_.view();
    if (settings_.zones.empty()) {
        for (Member& member : view.members)
            member.availabilityZone = homeZone_;
    }
    return view;
}

void RequestControl::scheduleTick()
{
    timer_.expires_after(tickPeriod);
    timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](const boost::system::error_code& error) {
        if (error || alive.expired())
            return;
        tick(Clock::now());
        scheduleTick();
    });
}

void RequestControl::tick(TimePoint now)
{
    terms_.tick(now);
    runner_.tick(now);
    forwarder_.tick(now);
    performDelayedRoutes(now);
    repeatAcknowledgements(now);
    performActions();
}

void RequestControl::adopt(const ClaimTerm& term)
{
    runner_.learnTerm(term, Clock::now());
    if (statistics().bucketsRecovering > 0)
        ++recoveries_;
    performActions();
}

void RequestControl::handleMessage(const BalancerInstance& from, const BalancerMessage& message)
{
    const TimePoint now = Clock::now();
    if (const auto* received = std::get_if<AttemptReceived>(&message)) {
        forwarder_.acknowledge(from, received->token);
    } else if (const auto* digest = std::get_if<TermDigest>(&message)) {
        terms_.compareDigest(from, *digest);
    } else {
        const auto& request = std::get<RequestMessage>(message);
        if (const auto* update = std::get_if<TermUpdate>(&request))
            terms_.learnTerm(update->term, now);
        else
            runner_.receive(from, request, now);
    }
    performActions();
}

void RequestControl::handleCallerRequest(const std::shared_ptr<Http2Exchange>& exchange)
{
    const TimePoint now = Clock::now();
    const HttpRequest& request = exchange->request();
    const CheckedRequest checked = checkRequest({ .method = request.method,
                                                    .key = request.header("idempotency-key"),
                                                    .deadline = request.header("x-deadline-milliseconds"),
                                                    .headerBytes = headerBytesOf(request),
                                                    .bodyBytes = request.body.size() },
        router_->zones(), settings_.limits);
    const ActiveAttempt& opened = attempts_.open(exchange, checked, *configuration_);
    const AttemptId id = opened.attempt.id;
    if (opened.isKeyed)
        route(id, now);
    else if (opened.attempt.problem)
        attempts_.refuse(id, { *opened.attempt.problem, Executed::No, {} });
    else
        runner_.arrive(UnkeyedAttempt { id, opened.attempt.service, opened.attempt.deadline }, now);
    performActions();
}

void RequestControl::route(AttemptId id, TimePoint now)
{
    ActiveAttempt& opened = *attempts_.find(id);
    const KeyedAttempt& attempt = opened.attempt;
    if (now >= attempt.deadline) {
        refuseAsUnknown(id, RefusalReason::DeadlinePassed);
        return;
    }
    const bool lacksRecord = !router_->termOf(router_->zones()[attempt.key.homeZone]);
    if (lacksRecord && now - opened.since < firstRecordTimeout) {
        routeLater(id, now);
        return;
    }
    const Route found = router_->route(attempt.key, *transport_.view());
    if (found.kind == AttemptRouteKind::Unreachable || ++opened.hops > maxHops)
        refuseAsUnknown(id, attempt.problem.value_or(RefusalReason::HomeUnreachable));
    else if (found.kind == AttemptRouteKind::Local)
        runner_.arrive(attempt, now);
    else
        forwarder_.forward(id, opened.request(), attempt.key.digest, attempt.problem, found.owner, attempt.deadline);
}

void RequestControl::routeLater(AttemptId id, TimePoint now)
{
    if (attempts_.find(id))
        delayedRoutes_.push_back({ id, now + rerouteDelay });
}

void RequestControl::performDelayedRoutes(TimePoint now)
{
    std::vector<AttemptId> due;
    std::erase_if(delayedRoutes_, [&](const DelayedRoute& later) {
        if (now < later.at)
            return false;
        due.push_back(later.id);
        return true;
    });
    for (const AttemptId id : due) {
        if (attempts_.find(id))
            route(id, now);
    }
}

// Without repeats, one lost datagram would answer an attempt with "unknown" while its work is running.
void RequestControl::repeatAcknowledgements(TimePoint now)
{
    for (PendingAcknowledgement& acknowledgement : acknowledgements_) {
        if (now < acknowledgement.at)
            continue;
        acknowledgement.at = now + acknowledgementPeriod;
        acknowledgement.repeatsLeft = attempts_.find(acknowledgement.id) ? acknowledgement.repeatsLeft - 1 : -1;
        if (acknowledgement.repeatsLeft >= 0)
            transport_.send(acknowledgement.token.entry, AttemptReceived { acknowledgement.token });
    }
    std::erase_if(acknowledgements_,
        [](const PendingAcknowledgement& acknowledgement) { return acknowledgement.repeatsLeft <= 0; });
}

bool RequestControl::handlePeerRequest(const std::shared_ptr<Http2Exchange>& exchange)
{
    const std::string& path = exchange->request().path;
    if (path == longMessagePath)
        transport_.receive(*exchange);
    else if (path == workPath)
        handleHop(exchange);
    else
        return false;
    return true;
}

void RequestControl::handleHop(const std::shared_ptr<Http2Exchange>& exchange)
{
    const TimePoint now = Clock::now();
    auto hop = readHop(exchange->request());
    const bool isFromMember = hop && transport_.view()->find(hop.value().token.entry.id);
    const auto key = hop ? RequestKey::parse(hop.value().request.header("idempotency-key"), router_->zones())
                         : Result<RequestKey>(hop.error());
    if (!isFromMember || !key) {
        exchange->respond({ .status = 400, .headers = {}, .body = {} });
        return;
    }
    // Meant for an earlier incarnation, whose claims this one does not have.
    if (hop.value().owner != settings_.self) {
        exchange->respond(writeHopAnswer(
            { .owner = hop.value().owner, .outcome = HopOutcome::Redirect, .refusal = {}, .response = {} }));
        return;
    }
    transport_.send(hop.value().token.entry, AttemptReceived { hop.value().token });
    CheckedRequest checked;
    checked.key = key.value();
    checked.timeLeft = std::min<Duration>(hop.value().timeLeft, settings_.limits.maxDeadline);
    checked.problem = hop.value().problem;
    const ActiveAttempt& opened = attempts_.open(
        exchange, checked, *configuration_, std::make_shared<const HttpRequest>(std::move(hop.value().request)));
    acknowledgements_.push_back(
        { opened.attempt.id, hop.value().token, now + acknowledgementPeriod, acknowledgementRepeats });
    runner_.arrive(opened.attempt, now);
    performActions();
}

void RequestControl::handleCancellation(AttemptId id)
{
    forwarder_.cancel(id);
    runner_.cancel(id, Clock::now());
    performActions();
}

void RequestControl::performActions()
{
    for (auto actions = runner_.takeActions(); !actions.empty(); actions = runner_.takeActions()) {
        for (const RequestAction& action : actions)
            std::visit([this](const auto& content) { perform(content); }, action);
    }
}

void RequestControl::perform(const StartWork& start)
{
    const ActiveAttempt* content = attempts_.find(start.content);
    const BackendServer* server = configuration_->findBackendServer(start.server);
    if (!content || !server)
        runner_.workFailed(start.work, HttpFailureKind::NotSent, Clock::now());
    else
        sender_.send(start, *server, content->request());
}

void RequestControl::finishWork(WorkId work, BackendServerId server, HttpOutcome outcome)
{
    const TimePoint now = Clock::now();
    if (!outcome) {
        if (outcome.error().kind == HttpFailureKind::Refused)
            runner_.serverShed(server, 0ms, now);
        runner_.workFailed(work, outcome.error().kind, now);
        performActions();
        return;
    }
    const HttpResponse& response = outcome.value();
    const bool isShed = response.status == 503 || response.status == 429;
    if (isShed)
        runner_.serverShed(server, retryAfterOf(response), now);
    // An overloaded server that does not say "not run" may have run the work, so its response goes to the caller.
    if (isShed && reportsNotExecuted(response))
        runner_.workFailed(work, HttpFailureKind::Refused, now);
    else
        runner_.workAnswered(work, std::make_shared<const HttpResponse>(std::move(outcome.value())), now);
    performActions();
}

void RequestControl::perform(const RedirectAttempt& redirect)
{
    const ActiveAttempt* opened = attempts_.find(redirect.id);
    if (opened && opened->forwarded) {
        attempts_.redirect(redirect.id);
        return;
    }
    terms_.fetchNewer(Clock::now());
    routeLater(redirect.id, Clock::now());
}

void RequestControl::refuseAsUnknown(AttemptId id, RefusalReason reason)
{
    attempts_.refuse(id, { reason, Executed::Unknown, drawRetryAfter(retryDelay, random_) });
}

HttpResponse RequestControl::issueTicket()
{
    // Tickets must not be predictable for other callers.
    std::random_device source;
    const auto word = [&] { return (std::uint64_t(source()) << 32) | source(); };
    const auto ticket = runner_.issueTicket(word(), word());
    if (!ticket) {
        return problemOf({ RefusalReason::NotReady, Executed::No, drawRetryAfter(retryDelay, random_) },
            "This balancer knows no ownership epoch yet")
            .toResponse();
    }
    const nlohmann::json body { { "ticket", *ticket } };
    return { .status = 200, .headers = { { "content-type", "application/json" } }, .body = body.dump() };
}

// The last serving balancer of a zone has no successor for its claims.
bool RequestControl::isReleased(TimePoint now) const
{
    const MembersView view = homeZoneView();
    const bool hasSuccessor = std::ranges::any_of(view.members, [&](const Member& member) {
        return member.id != view.self && member.state == MemberState::Serving && member.availabilityZone == homeZone_;
    });
    return !hasSuccessor || runner_.buckets().isReleased(now);
}

RequestStatistics RequestControl::statistics() const
{
    RequestStatistics statistics;
    statistics.outcomes = attempts_.counts();
    statistics.claimsHeld = runner_.buckets().table().size();
    statistics.bucketsLost = runner_.buckets().lostBuckets();
    for (std::uint32_t bucket = 0; bucket < claimBucketCount; ++bucket)
        statistics.bucketsRecovering += runner_.buckets().ownership(bucket) == Ownership::Recovering ? 1 : 0;
    statistics.recoveries = recoveries_;
    for (const Service& service : configuration_->services)
        statistics.queued += runner_.admission().queued(service.id);
    statistics.longMessageBytes = transport_.longMessageBytes();
    statistics.droppedMessages = transport_.droppedMessages();
    return statistics;
}

}
