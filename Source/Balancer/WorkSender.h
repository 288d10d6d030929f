#pragma once

#include "Balancer/Http2ClientPool.h"
#include "Configuration/Configuration.h"
#include "Request/RequestActions.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace wisteriadock {

// Sends work to backend servers over HTTP/2, each item once, and reports the outcome. RequestControl calls it.
class WorkSender {
public:
    using Handler = std::function<void(WorkId, BackendServerId, HttpOutcome)>;

    WorkSender(boost::asio::io_context&, const Http2Limits&, Handler);
    // Callbacks that are still pending have no effect.
    ~WorkSender() { alive_.reset(); }
    WorkSender(const WorkSender&) = delete;
    WorkSender& operator=(const WorkSender&) = delete;

    void applyConfiguration(const Configuration&);
    // The handler runs once, after the call has returned. A header tells the server how many milliseconds are left
    // until the deadline.
    void send(const StartWork&, const BackendServer&, HttpRequest);
    // Resets the stream; the handler then reports the failure.
    void cancel(WorkId);

private:
    struct SentRequest {
        Endpoint address;
        Http2Client::RequestId request = 0;
    };

    Handler onEnded_;
    std::map<WorkId, SentRequest> sentRequests_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    Http2ClientPool clients_;
};

}
