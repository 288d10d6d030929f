#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Forward/ForwardingConfiguration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

struct SoakBounds {
    // Machines and the store must have been undisturbed for so long before a bound holds.
    std::chrono::milliseconds settleTime { 4000 };
    // From the store's acknowledgement that a server drains, a configuration is written or a zone is to be emptied to
    // the last opening packet that may follow the former state.
    std::chrono::milliseconds drain { 3000 };
    std::chrono::milliseconds configuration { 3000 };
    std::chrono::milliseconds evacuation { 3000 };
    // From the moment that everything is back after all was killed.
    std::chrono::milliseconds recovery { 12000 };
};

// A server took the opening packet of a flow, which its caller sent at a time through a balancer.
struct SoakOpening {
    std::string server;
    std::string service;
    std::string availabilityZone;
    Endpoint route;
    std::string balancer;
    TimePoint sent;
};

// Checks what balancers promise, from what callers and backend servers see: it never asks a balancer. All times are
// those of the run's clock.
class SoakChecker {
public:
    explicit SoakChecker(SoakBounds bounds = {})
        : bounds_(bounds)
    {
    }

    // What was disturbed, and until when: one balancer by its name, or the store, or everything.
    void disturb(const std::string& balancer, TimePoint until);
    void disturbStore(TimePoint until);
    void disturbAll(TimePoint until);
    bool isUndisturbed(const std::string& balancer, TimePoint now) const;

    // The store acknowledged these.
    void noteConfiguration(const ForwardingConfiguration&, TimePoint now);
    void noteServerDraining(const std::string& server, TimePoint now);
    // Another process has registered under the id and says that it is ready; the one that left is over.
    void noteServerRestarted(const std::string& server) { drainingSince_.erase(server); }

    // The store acknowledged an order to empty a zone, or its end.
    void noteZoneEvacuated(const std::string& zone, TimePoint now) { evacuatedZones_.try_emplace(zone, now); }
    void noteEvacuationRevoked(const std::string& zone) { evacuatedZones_.erase(zone); }

    void noteOpening(const SoakOpening&, TimePoint now);
    // A server got a packet that its sender did not write so, or a caller did.
    void noteCorruptedPacket(const std::string& where);
    // A caller got a reset that no server sent, for an open flow of a server that lives or not.
    void noteReset(
        const std::string& flow, const std::string& balancer, bool isOpen, bool isServerAlive, TimePoint now);
    // A request ended.
    void noteRequest(bool isServed, const std::string& balancer, Endpoint route, TimePoint sent, TimePoint now);
    // A balancer's process ended although nobody ended it, or not as a planned stop should.
    void noteExit(const std::string& balancer, int code, bool wasExpected);
    // A step of the run could not be done, so that the run proves less than it says.
    void noteFailedStep(const Error& error) { addViolation("STEP: " + error.toString()); }
    // Everything was started again after all was killed.
    void noteAllRestarted(TimePoint now) { allRestartedAt_ = now; }

    // Counts what remains to be judged at the end.
    void finish();

    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t requests() const { return served_ + unserved_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t openings() const { return openings_; }
    std::uint64_t resets() const { return resets_; }
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
