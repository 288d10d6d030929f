#include "Balancer/BalancerDaemon.h"

#include "Balancer/ConfigurationPages.h"
#include "Balancer/ProcessTime.h"
#include "Balancer/StatusPage.h"
#include "Core/Hash.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto maintenancePeriod = 100ms;
    // A prefix under which the built-in pages are served as well, to keep them apart from the paths of services.
    constexpr std::string_view builtInPagePrefix = "/wisteriadock";

    // VMs keep no state, so the wall clock in milliseconds is the only number that grows with each start.
    std::uint64_t currentIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    std::uint64_t seedOf(const BalancerSettings& settings, std::uint64_t incarnation)
    {
        return hashString(settings.name, settings.seed != 0 ? settings.seed : incarnation);
    }

    RequestTimes requestTimesOf(const BalancerSettings& settings)
    {
        return { .defaultDeadline = settings.defaultDeadline, .maxDeadline = settings.maxDeadline };
    }

    StopTimes stopTimesOf(const BalancerSettings& settings)
    {
        StopTimes times;
        times.drain = settings.drain;
        return times;
    }

    RequestControlSettings controlSettingsOf(
        const BalancerSettings& settings, const BalancerInstance& self, std::uint64_t seed)
    {
        RequestControlSettings control;
        control.self = self;
        control.availabilityZone = settings.availabilityZone;
        control.zones = settings.availabilityZones;
        control.limits.headerBytes = settings.requestLimits.headerBytes;
        control.limits.bodyBytes = settings.requestLimits.bodyBytes;
        control.limits.defaultDeadline = settings.defaultDeadline;
        control.limits.maxDeadline = settings.maxDeadline;
        control.http = settings.requestLimits;
        control.retryRule = settings.requestPolicy == RequestPolicy::BlindRetry ? RetryRule::Blind : RetryRule::Safe;
        control.seed = seed;
        return control;
    }

    Endpoint advertised(Endpoint configured, Endpoint bound) { return configured.isSet() ? configured : bound; }

}

BalancerDaemon::BalancerDaemon(BalancerSettings settings, std::string settingsPath)
    : settings_(std::move(settings))
    , settingsPath_(std::move(settingsPath))
    , self_(balancerIdOf(settings_.name))
    , incarnation_(currentIncarnation())
    , seed_(seedOf(settings_, incarnation_))
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , maintenanceTimer_(context_)
    , stop_(stopTimesOf(settings_))
    , engine_(settings_.flow, self_, seed_)
    , platform_(context_, settings_.platform)
    , serverSelector_(requestTimesOf(settings_), seed_)
    , feed_(context_, platform_, seed_)
    , vms_(platform_, settings_.seeds, seed_)
{
}

BalancerDaemon::~BalancerDaemon() = default;

Result<std::unique_ptr<BalancerDaemon>> BalancerDaemon::start(BalancerSettings settings, std::string settingsPath)
{
    std::unique_ptr<BalancerDaemon> daemon(new BalancerDaemon(std::move(settings), std::move(settingsPath)));
    BOOST_OUTCOME_TRY(daemon->listen());
    daemon->connectComponents();
    return daemon;
}

Result<void> BalancerDaemon::listen()
{
    const auto onMessage = [this](const PeerEnvelope& envelope, Endpoint sender) { peers_->receive(envelope, sender); };
    BOOST_OUTCOME_TRY(socket, PeerSocket::open(context_, settings_.listen.peer, onMessage));
    peerSocket_ = std::move(socket);

    const auto builtInPages
        = [this](const std::shared_ptr<Http2Exchange>& exchange) { return serveBuiltInPage(exchange); };
    BOOST_OUTCOME_TRY(frontend,
        RequestFrontend::listen(
            context_, settings_.listen.request, settings_.requestLimits, serverSelector_, builtInPages));
    frontend_ = std::move(frontend);

    BOOST_OUTCOME_TRY(endpoint, MetricsEndpoint::serve(settings_.listen.metrics, metrics_.registry()));
    metricsEndpoint_ = std::move(endpoint);

    BOOST_OUTCOME_TRY(packets, PacketPath::start(settings_.listen.flow, settings_.packetThreads, engine_, self_));
    packets_ = std::move(packets);
    return boost::outcome_v2::success();
}

BalancerAddresses BalancerDaemon::addresses() const
{
    return { packets_->address(), peerSocket_->address(), frontend_->address(), metricsEndpoint_->address() };
}

Member BalancerDaemon::describeSelf() const
{
    const BalancerAddresses bound = addresses();
    Member self;
    self.id = self_;
    self.name = settings_.name;
    self.availabilityZone = settings_.availabilityZone;
    self.peerAddress = advertised(settings_.advertise.peer, bound.peer);
    self.flowAddress = advertised(settings_.advertise.flow, bound.flow);
    self.requestAddress = advertised(settings_.advertise.request, bound.request);
    self.incarnation = incarnation_;
    return self;
}

void BalancerDaemon::connectComponents()
{
    peers_ = std::make_unique<PeerControl>(context_, *peerSocket_, engine_, describeSelf(), seed_);
    if (settings_.isAtMostOnce)
        startRequestControl(incarnation_);
    else if (settings_.requestPolicy == RequestPolicy::BlindRetry)
        frontend_->retryBlindly();
    const auto onRequestMessage = [this](const PeerEnvelope& envelope) {
        if (control_)
            control_->receive(envelope);
    };
    peers_->start([this](const std::shared_ptr<const MembersView>& view) { applyMembers(view); }, onRequestMessage);
    vms_.start([this](const std::vector<ListedVm>& vms) { peers_->applyVms(vms); });
    feed_.start(peers_->view(), [this](const ConfigurationVersion& version) { applyConfiguration(version); });
    awaitSignal();
    scheduleMaintenance();
}

void BalancerDaemon::run()
{
    log_.info(
        fmt::format("starting {} in {} as incarnation {}", settings_.name, settings_.availabilityZone, incarnation_));
    context_.run();
    log_.info("stopped");
}

void BalancerDaemon::applyConfiguration(const ConfigurationVersion& version)
{
    configuration_ = std::make_shared<const Configuration>(version.configuration);
    peers_->applyConfiguration(configuration_, version.head.applied.version);
    frontend_->applyConfiguration(configuration_);
    if (control_)
        control_->applyConfiguration(configuration_);
}

void BalancerDaemon::startRequestControl(std::uint64_t incarnation)
{
    frontend_->setControl(nullptr);
    control_ = std::make_unique<RequestControl>(
        context_, *peerSocket_, platform_, controlSettingsOf(settings_, { self_, incarnation }, seed_));
    control_->applyConfiguration(configuration_);
    frontend_->setControl(control_.get());
}

// Membership raises the own incarnation when the fleet knows a higher one because the clock was set back. The claims
// held so far belong to the old incarnation, so request handling starts again without them.
void BalancerDaemon::applyMembers(const std::shared_ptr<const MembersView>& view)
{
    feed_.applyMembers(view);
    if (!control_)
        return;
    const std::uint64_t incarnation = view->findSelf()->incarnation;
    if (incarnation != control_->self().incarnation)
        startRequestControl(incarnation);
    control_->applyMembers(view);
}

bool BalancerDaemon::serveBuiltInPage(const std::shared_ptr<Http2Exchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    std::string_view path = request.path;
    if (path.starts_with(builtInPagePrefix))
        path.remove_prefix(builtInPagePrefix.size());
    if (request.method != "GET")
        return false;
    if (path == "/ticket" && control_) {
        exchange->respond(control_->issueTicket());
        return true;
    }
    if (path == "/status") {
        exchange->respond(renderStatus(*peers_->view(), feed_.version()));
        return true;
    }
    auto page = renderConfiguration(path, feed_.inForce());
    if (!page)
        return false;
    configurationBytesServed_ += page->body.size() + request.path.size();
    exchange->respond(std::move(*page));
    return true;
}

void BalancerDaemon::awaitSignal()
{
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        handleSignal(signal);
        awaitSignal();
    });
}

void BalancerDaemon::handleSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadLogLevel();
        return;
    }
    log_.info(stop_.isRequested() ? "stopping immediately" : "starting a planned stop");
    engine_.beginLeave();
    stop_.request(Clock::now());
    advanceStop();
}

void BalancerDaemon::reloadLogLevel()
{
    const auto settings = BalancerSettings::load(settingsPath_);
    if (!settings) {
        log_.warning(fmt::format("log level not changed: {}", settings.error().detail));
        return;
    }
    configureLog(settings.value().logLevel);
    log_.info(fmt::format("log level is {}", nameOf(settings.value().logLevel)));
}

void BalancerDaemon::scheduleMaintenance()
{
    maintenanceTimer_.expires_after(maintenancePeriod);
    maintenanceTimer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        vms_.poll(*peers_->view(), Clock::now());
        updateMetrics();
        advanceStop();
        scheduleMaintenance();
    });
}

StopConditions BalancerDaemon::stopConditions() const
{
    return {
        .mayLeave = engine_.mayLeave(),
        .areClaimsReleased = !control_ || control_->isReleased(Clock::now()),
        .areRequestsDrained = areRequestsDrained_ && (!control_ || control_->isIdle()),
    };
}

void BalancerDaemon::advanceStop()
{
    switch (stop_.tick(stopConditions(), Clock::now())) {
    case StopStep::None:
        break;
    case StopStep::Leave:
        peers_->leave();
        break;
    case StopStep::DrainRequests:
        frontend_->drain([this] { areRequestsDrained_ = true; });
        break;
    case StopStep::Exit:
        context_.stop();
        break;
    }
}

void BalancerDaemon::updateMetrics()
{
    BalancerStatistics statistics;
    statistics.packets = packets_->totals();
    statistics.flow = engine_.counters();
    statistics.requests = frontend_->counts();
    if (control_)
        statistics.control = control_->statistics();
    statistics.openRequests = frontend_->openRequests();
    statistics.controlBytes = {
        .peers = peerSocket_->bytesTransferred(),
        .platform = platform_.bytesTransferred(),
        .configuration = feed_.peerBytes() + configurationBytesServed_,
        .requests = statistics.control.longMessageBytes,
    };
    statistics.malformedPeerMessages
        = peerSocket_->malformed() + peers_->droppedMessages() + statistics.control.droppedMessages;
    statistics.httpProtocolErrors = frontend_->protocolErrors();
    statistics.configurationVersion = feed_.version();
    statistics.processCpuSeconds = processCpuSeconds();
    statistics.controlThreadCpuSeconds = threadCpuSeconds();
    statistics.members = peers_->view();
    metrics_.update(statistics);
}

}
