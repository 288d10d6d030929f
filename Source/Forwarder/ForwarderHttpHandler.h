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

// Answers the HTTP requests that Forwarder receives: readiness checks and reads of the metrics (/metrics). Also
// collects the counters of traffic by cause for TrafficReport.
template <typename Adapter> class ForwarderHttpHandler {
public:
    ForwarderHttpHandler(const TokenRouter& router, const PeerSync& peerSync, const StoreFeedDriver<Adapter>& store,
        const ForwarderLifecycle& lifecycle, EventLog& log, ForwarderMetrics& metrics)
        : router_(router)
        , peerSync_(peerSync)
        , store_(store)
        , lifecycle_(lifecycle)
        , log_(log)
        , metrics_(metrics)
    {
    }

    std::vector<TrafficRow> traffic() const
    {
        std::vector<TrafficRow> rows = peerSync_.traffic();
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

    ForwarderMetrics::Snapshot snapshotAt(TimePoint now) const
    {
        ForwarderMetrics::Snapshot snapshot;
        snapshot.overload = router_.overload().overview();
        snapshot.configurationVersion = router_.configurationVersion();
        snapshot.replicaRevision = peerSync_.replicaSync().replica().completeTo();
        snapshot.storeEra = store_.feed().era();
        if (const auto since = peerSync_.replicaSync().behindSince())
            snapshot.replicaLag = now - *since;
        snapshot.replicaStaleness = peerSync_.freshness().age(now);
        snapshot.flows = router_.flows().size();
        snapshot.members = peerSync_.members();
        snapshot.isReady = lifecycle_.isReady();
        snapshot.isStoreUnreachable = store_.feed().isUnreachable();
        snapshot.isWatching = store_.feed().isWatching();
        snapshot.logLines = log_.buffer().lines();
        snapshot.logDropped = log_.buffer().dropped();
        snapshot.logSuppressed = log_.suppressed();
        snapshot.traffic = traffic();
        snapshot.peerBytes = peerSync_.bytesTransferred();
        snapshot.storeBytes = store_.bytesTransferred();
        snapshot.directory = &router_.directory();
        snapshot.evacuatedZones = &router_.evacuatedZones();
        return snapshot;
    }

    const TokenRouter& router_;
    const PeerSync& peerSync_;
    const StoreFeedDriver<Adapter>& store_;
    const ForwarderLifecycle& lifecycle_;
    EventLog& log_;
    ForwarderMetrics& metrics_;
};

}
