#pragma once

#include "Core/EventLog.h"
#include "Core/ResourceUsage.h"
#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderHttpHandler.h"
#include "Forwarder/ForwarderLifecycle.h"
#include "Forwarder/ForwarderLog.h"
#include "Forwarder/ForwarderMetrics.h"
#include "Forwarder/ForwarderSettings.h"
#include "Forwarder/LoadReporter.h"
#include "Forwarder/LogFlusher.h"
#include "Forwarder/PartSettings.h"
#include "Forwarder/PeerSync.h"
#include "Forwarder/ProcessLog.h"
#include "Forwarder/SettingsReloader.h"
#include "Forwarder/StoreFeedDriver.h"
#include "Forwarder/StoreUpdateApplier.h"
#include "Forwarder/TokenPacketPath.h"
#include "Forwarder/UpdateQueue.h"
#include "Net/Http1Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace wisteriadock {

// The forwarder of an entry VM: receives flow packets with a return token and sends them to the backend servers that
// register themselves in the platform's store. This class creates its parts, passes events, timer ticks and signals
// between them, and performs the actions that they return. Everything runs on one thread, since these VMs have a
// fraction of one core. Adapter supplies the platform's formats; ForwarderProgram.h runs it.
template <typename Adapter> class Forwarder {
public:
    // Fails with Unavailable when an address can't be bound.
    static Result<std::unique_ptr<Forwarder>> start(const ForwarderSettings& settings, std::string settingsPath)
    {
        std::unique_ptr<Forwarder> forwarder(new Forwarder(settings, std::move(settingsPath)));
        BOOST_OUTCOME_TRY(forwarder->open());
        return forwarder;
    }
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    // Serves until a planned stop is over.
    void run()
    {
        processLog_.started(settings_, Clock::now());
        awaitSignal();
        scheduleTick(storeDriver_.feed().isAwaitingReaders() ? std::chrono::milliseconds(0) : firstTickDelay);
        context_.run();
    }

private:
    // As long as Membership allows, since each wakeup costs processor time. Log lines are flushed at each tick.
    static constexpr std::chrono::milliseconds tickInterval = MembershipSettings().maxTickPeriod();
    // Ticks come sooner while a deadline of ReplicaFreshness is near.
    static constexpr std::chrono::milliseconds minTickInterval { 5 };
    // Peers are contacted once packets are forwarded, or after this time. The store usually answers first, and callers
    // wait for it after a power failure.
    static constexpr std::chrono::milliseconds firstTickDelay { 60 };
    // Interval of the ticks until the routes and the servers have been loaded, while callers wait, and while the first
    // listing of the store waits for other balancers.
    static constexpr std::chrono::milliseconds unsyncedTickInterval { 100 };
    static constexpr std::chrono::milliseconds awaitingReadersTickInterval { 10 };

    Forwarder(const ForwarderSettings& settings, std::string settingsPath)
        : settings_(settings)
        , startedAt_(Clock::now())
        , incarnation_(static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count()))
        , seed_(balancerIdOf(settings.vm).value ^ incarnation_)
        , log_({ settings.vm, settings.availabilityZone, incarnation_ }, STDOUT_FILENO, settings.logBudget)
        , logFlusher_(context_, log_)
        , processLog_(log_, startedAt_)
        , forwarderLog_(log_)
        , trafficReport_(log_, startedAt_)
        , settingsReloader_(settings_, std::move(settingsPath), log_,
              [this](const std::vector<Endpoint>& seeds, TimePoint now) { peerSync_->setSeeds(seeds, now); })
        , router_(routerSettingsOf(settings))
        , lifecycle_({ .grace = settings.grace })
        , applier_(router_, forwarderLog_, metrics_)
        , signals_(context_, SIGTERM, SIGINT, SIGHUP)
        , tickTimer_(context_)
        , storeDriver_(context_, settings.store, seed_, storeFeedSettingsOf(settings, Adapter::sampleStart), metrics_,
              [this](const StoreFeedAction& action) { perform(action); })
    {
        log_.setLevel(settings.logLevel);
    }

    Result<void> open()
    {
        // Sent first, so that the store answers while the rest is set up.
        storeDriver_.start(startedAt_);
        BOOST_OUTCOME_TRY(socket, PacketSocket::open(settings_.flow));
        BOOST_OUTCOME_TRY(peers,
            PeerSync::open(
                context_, memberOf(settings_, incarnation_), settings_.seeds, seed_, log_, metrics_,
                [this](ReplicaChanged changed) { handleReplicaChange(std::move(changed)); },
                [this](const StoreUpdate& update) { return applier_.isOfZone(settings_.availabilityZone, update); },
                replicaSyncSettingsOf(settings_)));
        peerSync_ = std::move(peers);
        if (settings_.loadReportInterval.count() > 0)
            loadReporter_ = std::make_unique<LoadReporter>(balancerIdOf(settings_.vm), settings_.availabilityZone,
                seed_, loadExchangeSettingsOf(settings_), *peerSync_, router_, log_, metrics_);
        packetPath_
            = std::make_unique<TokenPacketPath<Adapter>>(context_, std::move(socket), router_, peerSync_->replicaSync(),
                lifecycle_, forwarderLog_, metrics_, [this](TimePoint now) { storeDriver_.noteContradiction(now); });
        httpHandler_ = std::make_unique<ForwarderHttpHandler<Adapter>>(
            router_, *peerSync_, storeDriver_, lifecycle_, log_, metrics_);
        const auto onRequest = [this](const std::shared_ptr<Http1Exchange>& exchange) {
            exchange->respond(httpHandler_->answer(exchange->request(), Clock::now()));
        };
        BOOST_OUTCOME_TRY(ready, Http1Server::listen(context_, settings_.ready, onRequest));
        readinessServer_ = std::move(ready);
        if (!settings_.metrics.isSet())
            return boost::outcome_v2::success();
        // The metrics are optional: the forwarder serves without them when their port is taken.
        auto metrics = Http1Server::listen(context_, settings_.metrics, onRequest);
        if (metrics)
            metricsServer_ = std::move(metrics).value();
        else
            processLog_.withoutMetrics(metrics.error(), startedAt_);
        return boost::outcome_v2::success();
    }

    void handleReplicaChange(ReplicaChanged changed)
    {
        const bool isIdle = updates_.isEmpty();
        updates_.push(std::move(changed));
        if (isIdle)
            applyUpdates();
    }

    void applyUpdates()
    {
        const TimePoint now = Clock::now();
        const ReplicaChanged slice = updates_.pop();
        applier_.apply(slice, now);
        if (!updates_.isEmpty()) {
            boost::asio::post(context_, [this] { applyUpdates(); });
            return;
        }
        peerSync_->handleApplied(now);
        const bool hasSynced = router_.configurationVersion() > 0 && peerSync_->replicaSync().hasOwnZone();
        if (hasSynced && lifecycle_.noteSynced())
            becomeReady(slice, now);
    }

    void becomeReady(const ReplicaChanged& last, TimePoint now)
    {
        // Earlier packets have waited in the socket's buffer. Dropping them would delay callers until they retransmit.
        packetPath_->start();
        processLog_.ready(last, router_.configurationVersion(), router_.directory().size(), now);
        logFlusher_.flush(now);
        startPeerSync(now);
    }

    void startPeerSync(TimePoint now)
    {
        if (!std::exchange(hasStartedPeerSync_, true))
            peerSync_->start(now);
    }

    void perform(const StoreFeedAction& action)
    {
        const TimePoint now = Clock::now();
        if (const auto* received = std::get_if<DeltaReceived>(&action)) {
            peerSync_->handleStoreDelta(*received, now);
        } else if (const auto* listing = std::get_if<ListingEnded>(&action)) {
            processLog_.listingEnded(*listing, now);
        } else if (const auto* restored = std::get_if<StoreEraChanged>(&action)) {
            processLog_.storeEraChanged(*restored, now);
        } else if (const auto* asked = std::get_if<StoreAsked>(&action)) {
            peerSync_->handleStoreAnswer(asked->isAnswered, now);
        } else if (const auto* lost = std::get_if<StoreUnreachable>(&action)) {
            peerSync_->noteStoreReachability(true, now);
            processLog_.storeUnreachable(*lost, now);
        } else if (const auto* regained = std::get_if<StoreReachable>(&action)) {
            peerSync_->noteStoreReachability(false, now);
            processLog_.storeReachable(*regained, now);
        }
    }

    void scheduleTick(std::chrono::milliseconds after)
    {
        tickTimer_.expires_after(after);
        tickTimer_.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            onTick(Clock::now());
        });
    }

    void onTick(TimePoint now)
    {
        startPeerSync(now);
        tickSync(now);
        tickRouter(now);
        settingsReloader_.tick(now);
        if (trafficReport_.isDue(now))
            trafficReport_.write(httpHandler_->traffic(), resourceUsage(), now);
        if (lifecycle_.isStopped(now)) {
            finish(now);
            return;
        }
        logFlusher_.flush(now);
        scheduleTick(nextTickInterval());
    }

    void tickSync(TimePoint now)
    {
        const ReplicaSync& replicaSync = peerSync_->replicaSync();
        peerSync_->noteStoreReachability(storeDriver_.feed().isUnreachable(), now);
        peerSync_->setFetchesImmediately(storeDriver_.feed().asksPeers());
        peerSync_->tick(now);
        const bool watches = peerSync_->isWatcher(now) && !lifecycle_.isStopping();
        storeDriver_.update(replicaSync.replica().completeTo(), watches, replicaSync.behindSince(), now);
        storeDriver_.tick(betterReaders(), now);
        const StoreContact contact { storeDriver_.feed().answeredAt(now), storeDriver_.feed().isUnreachable() };
        if (const auto question = peerSync_->tickFreshness(watches, contact, now))
            storeDriver_.askForChanges(*question, now);
    }

    void tickRouter(TimePoint now)
    {
        const ReplicaSync& replicaSync = peerSync_->replicaSync();
        router_.noteStoreContact(replicaSync.lastStoreContact());
        router_.setBalancers(
            balancerIdOf(settings_.vm).value, peerSync_->liveBalancersOfZone(), peerSync_->isSettled(now), now);
        forwarderLog_.transitions(router_.tick(now), replicaSync.replica().completeTo(), "time", now);
        forwarderLog_.changes(router_, now);
        if (loadReporter_)
            loadReporter_->tick(now);
    }

    std::chrono::milliseconds nextTickInterval() const
    {
        if (lifecycle_.hasSynced()) {
            const auto due = peerSync_->freshness().nextTick();
            const auto wait = due ? std::chrono::ceil<std::chrono::milliseconds>(*due - Clock::now()) : tickInterval;
            return std::clamp(wait, minTickInterval, tickInterval);
        }
        return storeDriver_.feed().isAwaitingReaders() ? awaitingReadersTickInterval : unsyncedTickInterval;
    }

    BetterReaders betterReaders() const
    {
        if (lifecycle_.hasSynced())
            return BetterReaders::None;
        if (peerSync_->members() == 1)
            return BetterReaders::Unknown;
        return peerSync_->replicaSync().knowsBetterReaders() ? BetterReaders::Known : BetterReaders::None;
    }

    void finish(TimePoint now)
    {
        trafficReport_.write(httpHandler_->traffic(), resourceUsage(), now);
        processLog_.stopped(now);
        log_.buffer().flushAll();
        context_.stop();
    }

    void awaitSignal()
    {
        signals_.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            const TimePoint now = Clock::now();
            if (signal == SIGHUP)
                settingsReloader_.reload("signal", now);
            else
                stop(now);
            awaitSignal();
        });
    }

    void stop(TimePoint now)
    {
        if (!lifecycle_.stop(now))
            return;
        processLog_.stopping(settings_, now);
        peerSync_->leave(now);
    }

    ForwarderSettings settings_;
    const TimePoint startedAt_;
    const std::uint64_t incarnation_;
    const std::uint64_t seed_;
    boost::asio::io_context context_ { 1 };
    EventLog log_;
    LogFlusher logFlusher_;
    ProcessLog processLog_;
    ForwarderLog forwarderLog_;
    TrafficReport trafficReport_;
    SettingsReloader settingsReloader_;
    ForwarderMetrics metrics_;
    TokenRouter router_;
    ForwarderLifecycle lifecycle_;
    StoreUpdateApplier<Adapter> applier_;
    UpdateQueue updates_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer tickTimer_;
    std::unique_ptr<PeerSync> peerSync_;
    // Null while load reports are switched off.
    std::unique_ptr<LoadReporter> loadReporter_;
    StoreFeedDriver<Adapter> storeDriver_;
    std::unique_ptr<TokenPacketPath<Adapter>> packetPath_;
    std::unique_ptr<ForwarderHttpHandler<Adapter>> httpHandler_;
    std::unique_ptr<Http1Server> readinessServer_;
    std::unique_ptr<Http1Server> metricsServer_;
    bool hasStartedPeerSync_ = false;
};

}
