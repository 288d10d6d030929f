#include "Experiment/ConfigurationChecker.h"

#include <algorithm>

namespace wisteriadock {

void ConfigurationChecker::accepted(std::uint64_t version, const std::string& contentHash, TimePoint at)
{
    const auto [place, isNew] = accepted_.try_emplace(version, Acceptance { contentHash, at });
    if (!isNew && place->second.contentHash != contentHash)
        ++reusedVersions_;
}

void ConfigurationChecker::processStarted(const std::string& process, TimePoint at) { processes_[process].begin = at; }

void ConfigurationChecker::processEnded(const std::string& process, TimePoint at) { processes_[process].end = at; }

void ConfigurationChecker::cutBegan(const std::string& process, TimePoint at)
{
    processes_[process].cuts.push_back({ at });
}

void ConfigurationChecker::cutEnded(const std::string& process, TimePoint at)
{
    auto& cuts = processes_[process].cuts;
    if (!cuts.empty())
        cuts.back().end = std::min(cuts.back().end, at);
}

void ConfigurationChecker::noteVersionInForce(const std::string& process, std::uint64_t version, TimePoint at)
{
    auto& reports = processes_[process].reports;
    if (reports.empty() || reports.back().version != version)
        reports.push_back({ version, at });
}

void ConfigurationChecker::served(std::uint64_t version, const std::string& namedHash, const std::string& hashOfText)
{
    ++served_[{ version, namedHash, hashOfText }];
}

std::uint64_t ConfigurationChecker::partialApplies() const
{
    std::uint64_t count = reusedVersions_;
    for (const auto& [content, times] : served_) {
        const auto found = accepted_.find(content.version);
        const bool isWhole = found != accepted_.end() && content.namedHash == found->second.contentHash
            && content.hashOfText == found->second.contentHash;
        count += isWhole ? 0 : 1;
    }
    return count;
}

std::uint64_t ConfigurationChecker::reversions(TimePoint end) const
{
    std::uint64_t count = 0;
    for (const auto& [name, process] : processes_) {
        for (std::size_t i = 1; i < process.reports.size(); ++i)
            count += process.reports[i].version < process.reports[i - 1].version ? 1 : 0;

        Duration reachableTime { 0 };
        for (const Interval& interval : process.intervalsOutsideCuts(process.begin, std::min(end, process.end)))
            reachableTime += interval.end - interval.begin;
        const std::uint64_t last = process.reports.empty() ? 0 : process.reports.back().version;
        if (reachableTime >= settleTime && last < versionInForceBefore(name))
            ++count;
    }
    return count;
}

double ConfigurationChecker::inForceSecondsMax(TimePoint end) const
{
    Duration longest { 0 };
    for (const auto& [version, acceptance] : accepted_) {
        const TimePoint at = acceptanceOf(version);
        for (const auto& [name, process] : processes_) {
            const TimePoint reached = std::min({ process.reached(version), process.end, end });
            for (const Interval& interval : process.intervalsOutsideCuts(std::max(at, process.begin), reached))
                longest = std::max(longest, interval.end - interval.begin);
        }
    }
    return std::chrono::duration<double>(longest).count();
}

bool ConfigurationChecker::isInForceEverywhere(std::uint64_t version) const
{
    return std::all_of(processes_.begin(), processes_.end(), [version](const auto& entry) {
        const Process& process = entry.second;
        const bool isCut = !process.cuts.empty() && process.cuts.back().end == TimePoint::max();
        if (process.end != TimePoint::max() || isCut)
            return true;
        return !process.reports.empty() && process.reports.back().version >= version;
    });
}

// Returns the lowest of the highest versions that the other reachable processes had reported when the process started.
std::uint64_t ConfigurationChecker::versionInForceBefore(const std::string& process) const
{
    const TimePoint start = processes_.at(process).begin;
    std::uint64_t lowest = 0;
    bool hasOthers = false;
    for (const auto& [name, other] : processes_) {
        if (name == process || other.begin >= start || !other.isReachable(start))
            continue;
        const std::uint64_t shown = other.highestReportedBy(start);
        lowest = hasOthers ? std::min(lowest, shown) : shown;
        hasOthers = true;
    }
    return lowest;
}

TimePoint ConfigurationChecker::acceptanceOf(std::uint64_t version) const
{
    TimePoint at = accepted_.at(version).at;
    for (const auto& [name, process] : processes_) {
        for (const VersionReport& report : process.reports) {
            if (report.version == version)
                at = std::min(at, report.at);
        }
    }
    return at;
}

bool ConfigurationChecker::Process::isReachable(TimePoint at) const
{
    if (at < begin || at >= end)
        return false;
    return std::none_of(
        cuts.begin(), cuts.end(), [at](const Interval& cut) { return at >= cut.begin && at < cut.end; });
}

std::uint64_t ConfigurationChecker::Process::highestReportedBy(TimePoint at) const
{
    std::uint64_t highest = 0;
    for (const VersionReport& report : reports) {
        if (report.at <= at)
            highest = std::max(highest, report.version);
    }
    return highest;
}

TimePoint ConfigurationChecker::Process::reached(std::uint64_t version) const
{
    for (const VersionReport& report : reports) {
        if (report.version >= version)
            return report.at;
    }
    return TimePoint::max();
}

std::vector<ConfigurationChecker::Interval> ConfigurationChecker::Process::intervalsOutsideCuts(
    TimePoint intervalBegin, TimePoint intervalEnd) const
{
    std::vector<Interval> result;
    TimePoint from = intervalBegin;
    for (const Interval& cut : cuts) {
        if (from < std::min(cut.begin, intervalEnd))
            result.push_back({ from, std::min(cut.begin, intervalEnd) });
        from = std::max(from, cut.end);
    }
    if (from < intervalEnd)
        result.push_back({ from, intervalEnd });
    return result;
}

}
