#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// Judges what operators were told about versions against what the balancers noteVersionInForce. It does no I/O: a
// scenario hands it observations as they come, in the order of their times, and asks for the counts when the run is
// over. A process is one life of a balancer; its name is never used again.
class ConfigurationChecker {
public:
    // An operator was told that this content is in force under this version.
    void accepted(std::uint64_t version, const std::string& contentHash, TimePoint);

    void processStarted(const std::string& process, TimePoint);
    void processEnded(const std::string& process, TimePoint);
    // While it is cut off, a process has no way to hear of anything.
    void cutBegan(const std::string& process, TimePoint);
    void cutEnded(const std::string& process, TimePoint);

    // The process said which version it has in force; 0 for none.
    void noteVersionInForce(const std::string& process, std::uint64_t version, TimePoint);
    // The process served its whole configuration: the hash that it names, and the hash of the text that came with it.
    void served(std::uint64_t version, const std::string& namedHash, const std::string& hashOfText);

    // Contents served that nobody was told to be accepted under that version, each counted once, and versions that were
    // accepted with two contents.
    std::uint64_t partialApplies() const;
    // Times that a process noteVersionInForce a lower version than before, and processes that came to rest below a
    // version that was in force on all others in reach when they started.
    std::uint64_t reversions(TimePoint end) const;
    // The longest time that a process could have heard of an accepted version and did not have it in force. The time
    // before and the time after a cut count each on its own. A version counts from its first sight, if a balancer
    // noteVersionInForce it before its operator was told.
    double inForceSecondsMax(TimePoint end) const;
    // True when all processes that run and are in reach noteVersionInForce this version or a newer one.
    bool isInForceEverywhere(std::uint64_t version) const;

    // A fresh process has this long, out of cuts, to come to rest.
    static constexpr std::chrono::seconds settleTime { 5 };

private:
    struct Interval {
        TimePoint begin;
        TimePoint end = TimePoint::max();
    };

    struct VersionReport {
        std::uint64_t version = 0;
        TimePoint at;
    };

    struct Process {
        TimePoint begin;
        TimePoint end = TimePoint::max();
        std::vector<Interval> cuts;
        // Only changes, oldest first.
        std::vector<VersionReport> reports;

        bool isReachable(TimePoint) const;
        std::uint64_t highestReportedBy(TimePoint) const;
        // When it first noteVersionInForce the version or a newer one; TimePoint::max() if never.
        TimePoint reached(std::uint64_t version) const;
        std::vector<Interval> intervalsOutsideCuts(TimePoint begin, TimePoint end) const;
    };

    struct Content {
        std::uint64_t version = 0;
        std::string namedHash;
        std::string hashOfText;
        auto operator<=>(const Content&) const = default;
    };

    std::uint64_t versionInForceBefore(const std::string& process) const;
    TimePoint acceptanceOf(std::uint64_t version) const;

    struct Acceptance {
        std::string contentHash;
        TimePoint at;
    };

    std::map<std::uint64_t, Acceptance> accepted_;
    std::uint64_t reusedVersions_ = 0;
    std::map<std::string, Process> processes_;
    std::map<Content, std::uint64_t> served_;
};

}
