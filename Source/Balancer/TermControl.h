#pragma once

#include "Balancer/RequestMessageTransport.h"
#include "Core/Clock.h"
#include "Core/Log.h"
#include "KeyValue/PlatformClient.h"
#include "Request/TermReconciler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace wisteriadock {

class RequestRouter;

// Maintains the ownership records of all availability zones: writes the own zone's record to the platform when the
// TermReconciler requests it, and learns the others from other balancers. A balancer that learns a new record sends it
// to a few random others, and each periodically compares epochs with a random one, so the cost per balancer does not
// grow with the fleet. Only balancers that miss a record read the platform. RequestControl owns it.
class TermControl {
public:
    using AdoptHandler = std::function<void(const ClaimTerm&)>;

    // Platform client, router and transport must outlive this object. The handler receives each newer record of the own
    // zone.
    TermControl(PlatformClient&, RequestRouter&, RequestMessageTransport&, std::string zone,
        const BalancerInstance& self, std::uint64_t seed, AdoptHandler);
    TermControl(const TermControl&) = delete;
    TermControl& operator=(const TermControl&) = delete;

    // Sets the view from which the holders of the own zone's claims are chosen.
    void applyMembers(const MembersView&, TimePoint now);
    void tick(TimePoint now);
    // Must be called when a newer record than the known one exists: asks other balancers, and the platform if none has
    // it.
    void fetchNewer(TimePoint now);
    // Asks a balancer for its newer records.
    void sendDigest(const BalancerInstance&);

    // Handle a record or a digest that another balancer sent.
    void learnTerm(const ClaimTerm&, TimePoint now);
    void compareDigest(const BalancerInstance& from, const TermDigest&);

private:
    void perform(TimePoint now);
    void write(const WriteTerm&, TimePoint now);
    void read(TimePoint now);
    void finishRead(const Result<PlatformEntry>&);
    void finishWrite(const Result<std::uint64_t>&);
    void adopt(const ClaimTerm&);
    void gossip(const ClaimTerm&);
    std::optional<BalancerInstance> randomPeer();
    TermDigest digest() const;
    std::uint64_t ownEpoch() const;

    Log log_ { "claims" };
    PlatformClient& platform_;
    RequestRouter& router_;
    RequestMessageTransport& transport_;
    std::string zone_;
    BalancerInstance self_;
    std::mt19937_64 random_;
    AdoptHandler onAdopted_;
    TermReconciler reconciler_;
    // Set while a platform read is delayed by jitter.
    std::optional<TimePoint> readAt_;
    // When the platform is read unless a record newer than epochAtFetch_ has arrived by then.
    std::optional<TimePoint> fallbackReadAt_;
    std::uint64_t epochAtFetch_ = 0;
    TimePoint nextDigest_;
    // Callbacks hold it weakly: the platform may answer after this object is destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}
