#pragma once

#include "Balancer/ActiveAttempts.h"
#include "Balancer/AttemptForwarder.h"
#include "Balancer/RequestMessageTransport.h"
#include "Balancer/TermControl.h"
#include "Balancer/WorkSender.h"
#include "Configuration/Configuration.h"
#include "Net/Http2Server.h"
#include "Request/RequestCheck.h"
#include "Request/RequestRunner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {

class RequestRouter;

// The parameters of a RequestControl.
struct RequestControlSettings {
    BalancerInstance self;
    std::string availabilityZone;
    // All availability zones; must be equal on all balancers. If empty, the whole fleet is the home zone of all keys.
    std::vector<std::string> zones;
    RequestLimits limits;
    Http2Limits http;
    RetryRule retryRule = RetryRule::Safe;
    std::uint64_t seed = 0;
};

// Counters and gauges of request handling, for the metrics. Counters run from the start of the RequestControl.
struct RequestStatistics {
    RequestCounts outcomes {};
    std::size_t claimsHeld = 0;
    std::size_t bucketsRecovering = 0;
    std::size_t bucketsLost = 0;
    std::uint64_t recoveries = 0;
    std::size_t queued = 0;
    std::uint64_t longMessageBytes = 0;
    std::uint64_t droppedMessages = 0;
};

// Runs each request at most once: receives requests from callers and other balancers, passes those whose keys this
// balancer owns to the RequestRunner, forwards the others to the owners, and carries out the runner's actions.
// RequestFrontend passes it exchanges; BalancerDaemon passes it everything else. Everything runs on the thread of the
// io_context.
class RequestControl {
public:
    // Socket and platform client must outlive this object.
    RequestControl(boost::asio::io_context&, PeerSocket&, PlatformClient&, const RequestControlSettings&);
    // Callbacks that are still pending have no effect.
    ~RequestControl();
    RequestControl(const RequestControl&) = delete;
    RequestControl& operator=(const RequestControl&) = delete;

    void applyConfiguration(std::shared_ptr<const Configuration>);
    void applyMembers(const std::shared_ptr<const MembersView>&);
    // Handles a datagram of kind Request.
    void receive(const PeerEnvelope& envelope) { transport_.receive(envelope); }

    // Handles a request that only balancers send. Returns false, without answering, for any other.
    bool handlePeerRequest(const std::shared_ptr<Http2Exchange>&);
    void handleCallerRequest(const std::shared_ptr<Http2Exchange>&);
    // The response to a caller that requests a ticket, an idempotency key made by the balancer.
    HttpResponse issueTicket();

    const BalancerInstance& self() const { return settings_.self; }
    // Conditions of a planned stop: no work is running, and other balancers, if any, hold the claims that this one
    // held.
    bool isIdle() const { return runner_.workUnderWay() == 0; }
    bool isReleased(TimePoint now) const;
    RequestStatistics statistics() const;

private:
    // The acknowledgement of a forwarded attempt, repeated because datagrams get lost.
    struct PendingAcknowledgement {
        AttemptId id = 0;
        ForwardToken token;
        TimePoint at;
        int repeatsLeft = 0;
    };
    struct DelayedRoute {
        AttemptId id = 0;
        TimePoint at;
    };

    void adopt(const ClaimTerm&);
    void scheduleTick();
    void tick(TimePoint now);
    void performDelayedRoutes(TimePoint now);
    void repeatAcknowledgements(TimePoint now);
    void handleMessage(const BalancerInstance& from, const BalancerMessage&);
    void handleHop(const std::shared_ptr<Http2Exchange>&);

    void route(AttemptId, TimePoint now);
    void routeLater(AttemptId, TimePoint now);
    void handleCancellation(AttemptId);

    // Carries out the runner's pending actions.
    void performActions();
    void perform(const StartWork&);
    void perform(const CancelWork& cancel) { sender_.cancel(cancel.work); }
    void perform(const AnswerAttempt& answer) { attempts_.answer(answer.id, *answer.answer); }
    void perform(const RefuseAttempt& refusal) { attempts_.refuse(refusal.id, refusal.refusal); }
    void perform(const RedirectAttempt&);
    void perform(const OutgoingMessage& message) { transport_.send(message.to, message.message); }
    void perform(const FetchTerm&) { terms_.fetchNewer(Clock::now()); }
    void finishWork(WorkId, BackendServerId, HttpOutcome);

    void refuseAsUnknown(AttemptId, RefusalReason);
    MembersView homeZoneView() const;

    RequestControlSettings settings_;
    std::string homeZone_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::shared_ptr<const Configuration> configuration_ = std::make_shared<const Configuration>();
    ActiveAttempts attempts_;
    std::vector<DelayedRoute> delayedRoutes_;
    std::vector<PendingAcknowledgement> acknowledgements_;
    std::uint64_t recoveries_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);

    RequestRunner runner_;
    std::unique_ptr<RequestRouter> router_;
    // Destroyed first: their destructors end open requests, whose callbacks use the members above.
    RequestMessageTransport transport_;
    TermControl terms_;
    AttemptForwarder forwarder_;
    WorkSender sender_;
};

}
