#pragma once

#include "Forward/ServiceLoad.h"
#include "LoadReports/AggregatorChoice.h"
#include "LoadReports/LoadMessages.h"
#include "LoadReports/ZoneReports.h"
#include "Membership/Member.h"
#include "Wire/PeerMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

struct LoadExchangeSettings {
    // How often a balancer reports, and an aggregator sends its digest.
    std::chrono::milliseconds interval { 500 };
    // Reports and digests that are older are not used.
    std::chrono::milliseconds lifetime { 2000 };
    // An aggregator without a digest for this many intervals is skipped.
    int silentIntervals = 3;
    // In larger zones each balancer reports in a share of the intervals, so that this many reports arrive in each.
    std::size_t reportsPerInterval = 50;
    // A digest for more receivers is relayed; see RelayTree.h.
    std::size_t maxDirectDigests = 64;
    std::size_t relayFanout = 4;
    std::size_t maxDigestRows = 40;
    // Rows with more requests in progress, or begun per second, than this many for each slot of the servers are wrong.
    float maxRequestsPerSlot = 1000;
};

struct SendLoadMessage {
    Endpoint to;
    PeerMessageKind kind = PeerMessageKind::LoadReport;
    std::shared_ptr<const std::vector<std::uint8_t>> payload;
};

// This balancer reports to another one from now on.
struct AggregatorChanged {
    std::optional<BalancerId> former;
    std::optional<BalancerId> current;
};

// The load of the own zone is known from a digest from now on, or only estimated from this balancer's observation.
struct DigestAvailabilityChanged {
    bool isAvailable = false;
};

// Rows of a report or digest were above LoadExchangeSettings::maxRequestsPerSlot.
struct LoadRowsRefused {
    BalancerId sender;
    std::size_t rows = 0;
};

using LoadAction = std::variant<SendLoadMessage, AggregatorChanged, DigestAvailabilityChanged, LoadRowsRefused>;
using LoadActions = std::vector<LoadAction>;

// Exchanges what balancers see of the load: each sends its observation to the aggregator of its zone, which sends the
// sum to the zone and to the aggregators of other zones. All of it is soft state: what is not renewed expires. Two
// aggregators of a zone at a time do no harm, since the digest that covers more balancers is used.
class LoadExchange {
public:
    // The number of slots of a service's servers in a zone; 0 if none is known.
    using SlotCount = std::function<std::uint32_t(const std::string& service, const std::string& zone)>;

    LoadExchange(
        BalancerId self, std::string availabilityZone, std::uint64_t seed, SlotCount, LoadExchangeSettings = {});

    void setView(std::shared_ptr<const MembersView>);
    // Whether handleInterval() shall be called.
    bool isDue(TimePoint now) const { return now >= nextInterval_; }
    // own: what this balancer has observed since the last call.
    LoadActions handleInterval(std::vector<ObservedLoad> own, TimePoint now);
    LoadActions handleMessage(const PeerEnvelope&, TimePoint now);

    // What is known of the load of each service.
    std::map<std::string, ServiceLoad> loads(TimePoint now) const;

    // For metrics and tests.
    struct Counts {
        std::uint64_t reports = 0;
        std::uint64_t digests = 0;
        // Messages that were unreadable, old, or of a balancer that is unknown or of another zone.
        std::uint64_t ignored = 0;
        std::uint64_t refusedRows = 0;
    };
    const Counts& counts() const { return counts_; }
    bool isAggregator() const { return isAggregating_; }
    // The newest digest of a zone, or null if none is known.
    const ZoneLoad* digestOfZone(const std::string& zone, TimePoint now) const;
    std::uint32_t liveBalancers() const { return liveInZone_; }

private:
    // The newest digest of each aggregator of one zone. Expired ones are kept, so that older ones are recognised.
    using ZoneDigests = std::map<BalancerId, ZoneLoad>;

    void handleReport(const PeerEnvelope&, TimePoint now, LoadActions&);
    void handleDigest(const PeerEnvelope&, TimePoint now, LoadActions&);
    // Sends the digest to some of the receivers, which pass it on to the others.
    void passOn(LoadDigestMessage&, const std::vector<const Member*>& receivers, LoadActions&);
    // Returns false for a digest that is expired, or not newer than the last one of its aggregator.
    bool putDigest(ZoneLoad, TimePoint now);
    // Returns the sender if it may report here, or null.
    const Member* findSender(const PeerEnvelope&) const;
    void refuseWrongRows(BalancerId sender, std::vector<ObservedLoad>&, LoadActions&);
    void smoothOwn(const std::vector<ObservedLoad>&, TimePoint now);
    void sendReport(std::vector<ObservedLoad> own, TimePoint now, LoadActions&);
    void sendDigests(TimePoint now, LoadActions&);
    void noteAvailability(TimePoint now, LoadActions&);
    bool isExpired(const ZoneLoad& zone, TimePoint now) const { return now - zone.madeAt >= settings_.lifetime; }
    std::uint64_t selfIncarnation() const;
    std::vector<ZoneLoad> currentZones(TimePoint now) const;
    std::vector<Endpoint> aggregatorsOfOtherZones(TimePoint now) const;

    const BalancerId self_;
    const std::string zone_;
    const LoadExchangeSettings settings_;
    SlotCount slots_;
    std::mt19937_64 random_;
    std::shared_ptr<const MembersView> view_;
    // Others of the own zone, ordered by id.
    std::vector<const Member*> othersInZone_;
    // The balancer of each other zone that ranks first.
    std::map<std::string, const Member*> firstOfZones_;
    std::uint32_t liveInZone_ = 1;
    AggregatorChoice choice_;
    ZoneReports reports_;
    std::map<std::string, ZoneDigests> digests_;
    // This balancer's observation, averaged over some seconds, since it sees only a few requests in an interval.
    std::vector<ObservedLoad> smoothedOwn_;
    TimePoint smoothedAt_;
    TimePoint nextInterval_ {};
    std::uint32_t reportSequence_ = 0;
    std::uint32_t digestSequence_ = 0;
    bool isAggregating_ = false;
    bool hasDigest_ = false;
    Counts counts_;
};

}
