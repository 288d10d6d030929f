#pragma once

#include "Forward/TokenRouter.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace wisteriadock {

// The forwarder's metrics. They are kept by prometheus-cpp and written out when somebody asks, on the forwarder's own
// listener: the library's listener starts threads that cost processor time at the start and at rest.
class ForwarderMetrics {
public:
    ForwarderMetrics();

    void countPacket(PacketReason reason, PacketVerdict verdict);
    void countMalformed() { malformed_.Increment(); }
    void countSendFailures(unsigned count) { sendFailed_.Increment(count); }
    void countStoreCall(const std::string& call, const std::string& outcome, Duration took);
    void countNews(const std::string& source, std::size_t items);
    void countRefusedNews() { refusedNews_.Increment(); }
    void countFetch(const std::string& outcome);
    void observe(const FlowProgress&);
    // How long this balancer knew that others had news before it had it too.
    void observeNewsLag(Duration lag);

    // What is read off the parts just before the text is written.
    struct Readings {
        std::uint64_t configurationVersion = 0;
        std::uint64_t newsRevision = 0;
        std::size_t flows = 0;
        std::size_t members = 0;
        bool isReady = false;
        bool isStoreLost = false;
        bool isWatching = false;
        std::uint64_t logLines = 0;
        std::uint64_t logDropped = 0;
        std::uint64_t logLeftOut = 0;
        std::uint64_t peerBytes = 0;
        std::uint64_t storeBytes = 0;
        ServerDirectory* directory = nullptr;
    };
    std::string text(const Readings&);

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& packetFamily_;
    prometheus::Counter& malformed_;
    prometheus::Counter& sendFailed_;
    prometheus::Counter& refusedNews_;
    prometheus::Family<prometheus::Counter>& storeCalls_;
    prometheus::Family<prometheus::Counter>& news_;
    prometheus::Family<prometheus::Counter>& fetches_;
    prometheus::Family<prometheus::Gauge>& readings_;
    prometheus::Family<prometheus::Gauge>& servers_;
    prometheus::Histogram& openingTime_;
    prometheus::Histogram& answerTime_;
    prometheus::Histogram& storeTime_;
    prometheus::Histogram& newsLag_;
    std::array<std::array<prometheus::Counter*, 3>, packetReasons> packets_ {};
};

}
