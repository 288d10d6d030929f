#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Forward/ForwardingConfiguration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wisteriadock {

struct SoakBounds {
    // How long the balancer and the store must have been undisturbed before the bounds below apply.
    std::chrono::milliseconds settleTime { 4000 };
    // The time from the store's acknowledgement of a draining server, a new configuration or the evacuation of a zone
    // to the last opening packet that may still follow the former state.
    std::chrono::milliseconds drain { 3000 };
    std::chrono::milliseconds configuration { 3000 };
    std::chrono::milliseconds evacuation { 3000 };
    // The time from the restart of all balancers until requests must be served again.
    std::chrono::milliseconds recovery { 12000 };
    // The time from a live server's write of its entry, which another writer had overwritten, until the server must
    // have taken a new flow: the time for which an earlier entry may be held, a write interval, and a second in which
    // callers open flows.
    std::chrono::milliseconds rewrittenEntry { 11800 };
};

// A server accepted the opening packet that a caller sent through a balancer.
struct SoakOpening {
    std::string server;
    std::string service;
    std::string availabilityZone;
    Endpoint route;
    std::string balancer;
    TimePoint sent; // By the caller.
};

// Checks the guarantees of the balancers against what callers, backend servers and the store observe; it never queries
// a balancer. SoakRun reports each observation, and faults that suspend guarantees. All times are those of the run's
// clock.
class SoakChecker {
public:
    explicit SoakChecker(SoakBounds bounds = {})
        : bounds_(bounds)
    {
    }

    // Marks one balancer, the store or everything as disturbed until the given time.
    void disturb(const std::string& balancer, TimePoint until);
    void disturbStore(TimePoint until);
    void disturbAll(TimePoint until);
    // Whether the balancer and the store have been undisturbed for the settle time.
    bool isUndisturbed(const std::string& balancer, TimePoint now) const;

    // The store acknowledged a configuration, or the entry of a server that drains.
    void noteConfiguration(const ForwardingConfiguration&, TimePoint now);
    void noteServerDraining(const std::string& server, TimePoint now);
    // A new process registered as ready under the id of a draining server, so new flows may go there again.
    void noteServerRestarted(const std::string& server) { drainingSince_.erase(server); }

    // A live server wrote its entry again after another writer had overwritten it.
    void noteEntryRewritten(const std::string& server, const std::string& zone, TimePoint now);
    // The server drains or ends, so it need not take openings any more.
    void noteServerLeaving(const std::string& server) { rewrittenEntries_.erase(server); }

    // The store acknowledged the evacuation of a zone, or its revocation.
    void noteZoneEvacuated(const std::string& zone, TimePoint now) { evacuatedZones_.try_emplace(zone, now); }
    void noteEvacuationRevoked(const std::string& zone) { evacuatedZones_.erase(zone); }

    void noteOpening(const SoakOpening&, TimePoint now);
    // A server or caller, named by `where`, got a packet that differs from what its sender wrote.
    void noteCorruptedPacket(const std::string& where);
    // A caller got a reset that a balancer sent. It is a violation if the flow is open at a server that is alive.
    void noteReset(
        const std::string& flow, const std::string& balancer, bool isOpen, bool isServerAlive, TimePoint now);
    // A request was answered or given up.
    void noteRequest(bool isServed, const std::string& balancer, Endpoint route, TimePoint sent, TimePoint now);
    // A balancer's process ended: by itself, or after a planned stop with this exit code.
    void noteExit(const std::string& balancer, int code, bool wasExpected);
    // A step of the run could not be performed; counts as a violation, since the run did not test what it planned.
    void noteFailedStep(const Error& error) { addViolation("STEP: " + error.toString()); }
    // The time at which all balancers are started again after all were killed.
    void noteAllRestarted(TimePoint now) { allRestartedAt_ = now; }
    // The balancer's machine stays off until the end of the run, so that requests sent through it fail.
    void noteSwitchedOff(const std::string& balancer) { switchedOff_.insert(balancer); }

    // Checks the shares of served requests, and the servers whose entries were overwritten. To be called once, at the
    // end.
    void finish(TimePoint now);

    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t requests() const { return served_ + unserved_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t openings() const { return openings_; }
    std::uint64_t resets() const { return resets_; }
    // Requests for configured routes that were sent and ended while their balancer and the store were undisturbed.
    std::uint64_t undisturbedRequests() const { return undisturbedServed_ + undisturbedUnserved_; }

private:
    struct Version {
        ForwardingConfiguration configuration;
        TimePoint at;
    };

    void addViolation(std::string text);
    bool allows(const ForwardingConfiguration&, Endpoint route, const std::string& service) const;

    SoakBounds bounds_;
    std::map<std::string, TimePoint> disturbedUntil_;
    TimePoint storeDisturbedUntil_ = TimePoint::min();
    std::vector<Version> versions_;
    std::map<std::string, TimePoint> drainingSince_;
    std::map<std::string, TimePoint> evacuatedZones_;
    struct RewrittenEntry {
        std::string zone;
        TimePoint at;
    };
    // Of servers that have taken no opening since.
    std::map<std::string, RewrittenEntry> rewrittenEntries_;
    std::set<std::string> switchedOff_;
    TimePoint allRestartedAt_ = TimePoint::max();
    std::uint64_t served_ = 0;
    std::uint64_t unserved_ = 0;
    std::uint64_t undisturbedServed_ = 0;
    std::uint64_t undisturbedUnserved_ = 0;
    std::uint64_t recoveredServed_ = 0;
    std::uint64_t recoveredUnserved_ = 0;
    std::uint64_t openings_ = 0;
    std::uint64_t resets_ = 0;
    std::uint64_t unlistedViolations_ = 0;
    std::vector<std::string> violations_;
};

}
