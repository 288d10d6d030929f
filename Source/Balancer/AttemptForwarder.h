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

// How a forwarded try ended.
struct ForwardHandlers {
    std::function<void(AttemptId, HttpResponse)> onAnswer;
    // The owner's own word.
    std::function<void(AttemptId, const Refusal&)> onRefusal;
    // Without the owner's word: the work may have run.
    std::function<void(AttemptId, RefusalReason)> onLost;
    // The owner does not own the key any more, or never got the try: route it again.
    std::function<void(AttemptId, const BalancerInstance& owner)> onRedirect;
};

// Sends tries over HTTP/2 to the balancers that own their keys and takes the answers. RequestControl calls it.
class AttemptForwarder {
public:
    // The link outlives the forwarder.
    AttemptForwarder(boost::asio::io_context&, RequestMessageTransport&, const BalancerInstance& self,
        const Http2Limits&, ForwardHandlers);
    // What still ends afterwards is told to nobody.
    ~AttemptForwarder() { alive_.reset(); }
    AttemptForwarder(const AttemptForwarder&) = delete;
    AttemptForwarder& operator=(const AttemptForwarder&) = delete;

    // Exactly one of the ends follows, unless the try is cancelled.
    void forward(AttemptId, const HttpRequest&, const KeyDigest&, std::optional<RefusalReason> problem,
        const BalancerInstance& owner, TimePoint deadline);
    void cancel(AttemptId);
    void acknowledge(const BalancerInstance& from, const ForwardToken& token)
    {
        pendingForwards_.acknowledge(from, token);
    }
    // Gives up what went to owners that are dead or have started again.
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
    // By token number. A hop that is not here any more is nobody's.
    std::map<std::uint64_t, Hop> hops_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    Http2ClientPool clients_;
};

}
