#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// Compares the configuration versions that operators were told are accepted with those that the balancers reported. The
// scenario passes in observations in the order of their times and reads the counts after the run. Each process is one
// start of a balancer, and its name is used only once. Performs no I/O.
class ConfigurationChecker {
public:
    // An operator was told that this content was accepted as this version.
    void accepted(std::uint64_t version, const std::string& contentHash, TimePoint);

    void processStarted(const std::string& process, TimePoint);
    void processEnded(const std::string& process, TimePoint);
    // A process that is cut off receives no versions.
    void cutBegan(const std::string& process, TimePoint);
    void cutEnded(const std::string& process, TimePoint);

    // The process reported the version that it has in force; 0 for none.
    void noteVersionInForce(const std::string& process, std::uint64_t version, TimePoint);
    // A process returned its complete configuration: the hash that it reported, and the hash of the text.
    void served(std::uint64_t version, const std::string& namedHash, const std::string& hashOfText);

    // Number of distinct contents that were served as a version without having been accepted as that version, plus
    // number of times that a version was accepted with a second content.
    std::uint64_t partialApplies() const;
    // Number of times that a process reported a lower version than before, plus number of processes that settled below
    // a version that was in force on all other reachable processes when they started.
    std::uint64_t reversions(TimePoint end) const;
    // The longest time, in seconds, that a reachable process did not have an accepted version in force. The times
    // before and after a cut count separately. A version counts from its acceptance or from the first report of it,
    // whichever is earlier.
    double inForceSecondsMax(TimePoint end) const;
    // True when all running, reachable processes reported this version or a newer one.
    bool isInForceEverywhere(std::uint64_t version) const;

    // Time that a new process has to reach its version, not counting cuts.
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
        // Changes of the reported version, oldest first.
        std::vector<VersionReport> reports;

        bool isReachable(TimePoint) const;
        std::uint64_t highestReportedBy(TimePoint) const;
        // When the process first reported the version or a newer one; TimePoint::max() if never.
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
