#pragma once

#include "Balancer/Http2ClientPool.h"
#include "Balancer/RequestHop.h"
#include "Balancer/RequestMessageTransport.h"
#include "Core/Clock.h"
#include "Request/PendingForwardTable.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace wisteriadock {

// Handlers for the outcomes of a forwarded attempt.
struct ForwardHandlers {
    std::function<void(AttemptId, HttpResponse)> onAnswer;
    // The owner refused the attempt.
    std::function<void(AttemptId, const Refusal&)> onRefusal;
    // The outcome is unknown: the work may have run.
    std::function<void(AttemptId, RefusalReason)> onLost;
    // The receiver no longer owns the key or never got the attempt, which must be routed again.
    std::function<void(AttemptId, const BalancerInstance& owner)> onRedirect;
};

// Forwards attempts over HTTP/2 to the balancers that own their keys and reports the outcomes. RequestControl calls it.
class AttemptForwarder {
public:
    // The transport must outlive the forwarder.
    AttemptForwarder(boost::asio::io_context&, RequestMessageTransport&, const BalancerInstance& self,
        const Http2Limits&, ForwardHandlers);
    // Callbacks that are still pending have no effect.
    ~AttemptForwarder() { alive_.reset(); }
    AttemptForwarder(const AttemptForwarder&) = delete;
    AttemptForwarder& operator=(const AttemptForwarder&) = delete;

    // Exactly one of the handlers runs, unless the attempt is cancelled.
    void forward(AttemptId, const HttpRequest&, const KeyDigest&, std::optional<RefusalReason> problem,
        const BalancerInstance& owner, TimePoint deadline);
    void cancel(AttemptId);
    void acknowledge(const BalancerInstance& from, const ForwardToken& token)
    {
        pendingForwards_.acknowledge(from, token);
    }
    // Gives up the attempts whose owner is dead or has restarted.
    void applyMembers();
    void tick(TimePoint now);

private:
    struct Hop {
        AttemptId id = 0;
        KeyDigest key;
        BalancerInstance owner;
        Endpoint address;
        Http2Client::RequestId request = 0;
    };

    void finish(const ForwardToken&, HttpOutcome);
    void finishFailed(const ForwardToken&, const Hop&, HttpFailureKind);
    void finishAnswered(const ForwardToken&, const Hop&, HopAnswer);
    void abandon(const AbandonedForward&);
    void closeHop(AttemptId);

    RequestMessageTransport& transport_;
    BalancerInstance self_;
    ForwardHandlers handlers_;
    PendingForwardTable pendingForwards_;
    // By token number. The outcome of a hop that is no longer here is ignored.
    std::map<std::uint64_t, Hop> hops_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    Http2ClientPool clients_;
};

}
