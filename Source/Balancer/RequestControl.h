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

// What a RequestControl is set up with.
struct RequestControlSettings {
    BalancerInstance self;
    std::string availabilityZone;
    // The fixed list of availability zones, equal on all balancers. Empty makes the fleet one home for all keys.
    std::vector<std::string> zones;
    RequestLimits limits;
    Http2Limits http;
    RetryRule retryRule = RetryRule::Safe;
    std::uint64_t seed = 0;
};

// Figures for the metrics.
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

// Answers requests at most once: takes them from callers and other balancers, gives those whose keys this balancer owns
// to the RequestRunner and forwards the others, and carries out what the runner decides. RequestFrontend hands
// exchanges over, the daemon everything else. Everything runs on the thread of the io_context.
class RequestControl {
public:
    // Link and platform outlive the control.
    RequestControl(boost::asio::io_context&, PeerLink&, PlatformClient&, const RequestControlSettings&);
    // What still ends afterwards is told to nobody.
    ~RequestControl();
    RequestControl(const RequestControl&) = delete;
    RequestControl& operator=(const RequestControl&) = delete;

    void applyConfiguration(std::shared_ptr<const Configuration>);
    void applyMembers(const std::shared_ptr<const MembersView>&);
    // A datagram of the kind Request.
    void receive(const PeerEnvelope& envelope) { transport_.receive(envelope); }

    // Takes what only balancers send; false for anything else.
    bool handlePeerRequest(const std::shared_ptr<Http2Exchange>&);
    void handleCallerRequest(const std::shared_ptr<Http2Exchange>&);
    // The answer to a request for a ticket.
    HttpResponse issueTicket();

    const BalancerInstance& self() const { return settings_.self; }
    // For a planned stop: nothing is under way, and the claims held here have gone over to others, if there are any.
    bool isIdle() const { return runner_.workUnderWay() == 0; }
    bool isReleased(TimePoint now) const;
    RequestStatistics statistics() const;

private:
    // The word that a forwarded try has come, to be said again: datagrams get lost.
    struct PendingAcknowledgement {
        AttemptId id = 0;
        ForwardToken token;
        TimePoint at;
        int left = 0;
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

    // Carries out what the runner decided.
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
    // Destroyed first: their open requests end inside their destructors.
    RequestMessageTransport transport_;
    TermControl terms_;
    AttemptForwarder forwarder_;
    WorkSender sender_;
};

}
