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

// Keeps the ownership records of all availability zones: writes the own zone's to the platform when the TermReconciler
// says so, and learns the others' from other balancers. News goes to a few random balancers from each that learns it,
// and each compares epochs with a random one now and then, so the cost per balancer does not grow with the fleet. The
// platform is read only by those that miss something.
class TermControl {
public:
    using AdoptHandler = std::function<void(const ClaimTerm&)>;

    // Platform, router and link outlive the control. The handler gets each newer record of the own zone.
    TermControl(PlatformClient&, RequestRouter&, RequestMessageTransport&, std::string zone,
        const BalancerInstance& self, std::uint64_t seed, AdoptHandler);
    TermControl(const TermControl&) = delete;
    TermControl& operator=(const TermControl&) = delete;

    // The view by which the own zone's holders are chosen.
    void applyMembers(const MembersView&, TimePoint now);
    void tick(TimePoint now);
    // A newer record than the known one exists.
    void fetchNewer(TimePoint now);
    // Asks a balancer for what it knows better.
    void sendDigest(const BalancerInstance&);

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
    // Set while a read waits for its jitter.
    std::optional<TimePoint> readAt_;
    // When the platform is read if no balancer has told a record newer than this epoch by then.
    std::optional<TimePoint> fallbackReadAt_;
    std::uint64_t epochAtFetch_ = 0;
    TimePoint nextDigest_;
    // Answers hold it weakly: the platform may answer after this object is gone.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}
