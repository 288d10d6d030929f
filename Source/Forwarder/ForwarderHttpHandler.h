#pragma once

#include "Core/EventLog.h"
#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderLifecycle.h"
#include "Forwarder/ForwarderMetrics.h"
#include "Forwarder/PeerSync.h"
#include "Forwarder/StoreFeedDriver.h"
#include "Net/HttpMessage.h"

#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// What the forwarder answers over HTTP, whether it is ready and its metrics, and what it reads for that.
template <typename Adapter> class ForwarderHttpHandler {
public:
    ForwarderHttpHandler(const TokenRouter& router, const PeerSync& peers, const StoreFeedDriver<Adapter>& store,
        const ForwarderLifecycle& lifecycle, EventLog& log, ForwarderMetrics& metrics)
        : router_(router)
        , peers_(peers)
        , store_(store)
        , lifecycle_(lifecycle)
        , log_(log)
        , metrics_(metrics)
    {
    }

    std::vector<TrafficRow> traffic() const
    {
        std::vector<TrafficRow> rows = peers_.traffic();
        rows.push_back({ "store", metrics_.storeCalls(), 0, store_.bytesTransferred() });
        rows.push_back({ "packets", metrics_.forwarded(), metrics_.forwardedBytes(), metrics_.forwardedBytes() });
        return rows;
    }

    HttpResponse answer(const HttpRequest& request, TimePoint now)
    {
        HttpResponse response;
        if (request.path == Adapter::readinessPath)
            response.status = lifecycle_.isReady() ? 200 : 503;
        else if (request.path == "/metrics")
            response = metricsResponse(now);
        else
            response.status = 404;
        return response;
    }

private:
    HttpResponse metricsResponse(TimePoint now)
    {
        HttpResponse response;
        Result<std::string> text = metrics_.text(snapshotAt(now));
        response.status = text ? 200 : 503;
        response.headers = { { "content-type", text ? "text/plain; version=0.0.4" : "text/plain" } };
        response.body = text ? std::move(text).value() : text.error().toString() + "\n";
        return response;
    }

    ForwarderMetrics::Readings snapshotAt(TimePoint now) const
    {
        ForwarderMetrics::Readings readings;
        readings.configurationVersion = router_.configurationVersion();
        readings.newsRevision = peers_.exchange().replica().completeTo();
        if (const auto since = peers_.exchange().behindSince())
            readings.newsBehind = now - *since;
        readings.flows = router_.flows().size();
        readings.members = peers_.members();
        readings.isReady = lifecycle_.isReady();
        readings.isStoreLost = store_.feed().isUnreachable();
        readings.isWatching = store_.feed().isWatching();
        readings.logLines = log_.buffer().lines();
        readings.logDropped = log_.buffer().dropped();
        readings.logLeftOut = log_.leftOut();
        readings.traffic = traffic();
        readings.peerBytes = peers_.bytesTransferred();
        readings.storeBytes = store_.bytesTransferred();
        readings.directory = &router_.directory();
        readings.emptiedZones = &router_.evacuatedZones();
        return readings;
    }

    const TokenRouter& router_;
    const PeerSync& peers_;
    const StoreFeedDriver<Adapter>& store_;
    const ForwarderLifecycle& lifecycle_;
    EventLog& log_;
    ForwarderMetrics& metrics_;
};

}
