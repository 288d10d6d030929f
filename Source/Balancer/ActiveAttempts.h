#pragma once

#include "Balancer/RequestCounts.h"
#include "Balancer/RequestHop.h"
#include "Configuration/Configuration.h"
#include "Net/Http2Server.h"
#include "Request/RequestActions.h"
#include "Request/RequestCheck.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wisteriadock {

// A request that this balancer is answering: a caller's own, or one that another balancer forwarded.
struct ActiveAttempt {
    std::shared_ptr<Http2Exchange> exchange;
    // Set for a forwarded request: the request as its caller sent it.
    std::shared_ptr<const HttpRequest> forwarded;
    KeyedAttempt attempt;
    bool isKeyed = false;
    bool namesNoService = false;
    // Tells the caller why the request is invalid; may be empty.
    std::string detail;
    // How often the request was routed.
    int hops = 0;
    TimePoint since;

    const HttpRequest& request() const { return forwarded ? *forwarded : exchange->request(); }
};

// The requests that are being answered, by attempt id. Each gets exactly one final response, on its own stream.
// RequestControl calls it.
class ActiveAttempts {
public:
    using CancelHandler = std::function<void(AttemptId)>;

    // The handler runs when the caller or the forwarding balancer has cancelled an attempt, which is closed by then.
    ActiveAttempts(const BalancerInstance& self, CancelHandler);
    ~ActiveAttempts() { alive_.reset(); }
    ActiveAttempts(const ActiveAttempts&) = delete;
    ActiveAttempts& operator=(const ActiveAttempts&) = delete;

    ActiveAttempt& open(const std::shared_ptr<Http2Exchange>&, const CheckedRequest&, const Configuration&,
        std::shared_ptr<const HttpRequest> forwarded = nullptr);
    ActiveAttempt* find(AttemptId);

    // These end an attempt; an attempt that has already ended is ignored.
    void answer(AttemptId, HttpResponse);
    void refuse(AttemptId, const Refusal&);
    // Only for a forwarded attempt: returns it to the forwarding balancer, which routes it again.
    void redirect(AttemptId);

    // How callers' requests ended. A forwarded request is counted by the balancer that received it from the caller.
    const RequestCounts& counts() const { return counts_; }

private:
    void cancel(AttemptId);
    std::shared_ptr<ActiveAttempt> close(AttemptId);
    void count(RequestOutcomeKind outcome) { ++counts_[static_cast<std::size_t>(outcome)]; }

    BalancerInstance self_;
    CancelHandler onCancelled_;
    std::map<AttemptId, std::shared_ptr<ActiveAttempt>> attempts_;
    AttemptId lastId_ = 0;
    RequestCounts counts_ {};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}
