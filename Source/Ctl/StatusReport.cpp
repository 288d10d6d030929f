#include "Ctl/StatusReport.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    class Report {
    public:
        Report(const Result<std::uint64_t>& newestVersion, const std::vector<StatusProbe>& probes)
            : highest_(highestVersionInForce(probes))
        {
            readNewest(newestVersion);
            for (const StatusProbe& probe : probes) {
                if (probe.status)
                    zones_[probe.status.value().availabilityZone].push_back(&probe);
                else
                    addUnreached(probe);
            }
        }

        CtlResult finish()
        {
            Json zones = Json::array();
            for (const auto& [name, balancers] : zones_)
                zones.push_back(addZone(name, balancers));
            addOlderCopyWarning();
            for (const std::string& line : unreachedLines_)
                addLine(line);
            if (newest_)
                result_.json["newest_version"] = *newest_;
            result_.json["highest_version_in_force"] = highest_;
            result_.json["availability_zones"] = std::move(zones);
            result_.json["unreached"] = std::move(unreached_);
            result_.json["status"] = result_.exit == CtlExit::Done ? "in_force" : "not_in_force_everywhere";
            return std::move(result_);
        }

    private:
        void readNewest(const Result<std::uint64_t>& newestVersion)
        {
            if (newestVersion) {
                newest_ = newestVersion.value();
                addLine(fmt::format("newest version: {}", *newest_));
                return;
            }
            if (newestVersion.error().code == ErrorCode::NotFound) {
                newest_ = 0;
                addLine("newest version: none yet");
                return;
            }
            addLine("newest version: unknown");
            addUnreachedLine("platform", newestVersion.error());
        }

        void addUnreached(const StatusProbe& probe)
        {
            addUnreachedLine("balancer " + probe.address.toString(), probe.status.error());
        }

        void addUnreachedLine(const std::string& what, const Error& error)
        {
            unreachedLines_.push_back(fmt::format("not reached: {}: {}", what, error.toString()));
            unreached_.push_back({ { "what", what }, { "error", error.toString() } });
            result_.exit = CtlExit::Unavailable;
        }

        Json addZone(const std::string& name, const std::vector<const StatusProbe*>& probes)
        {
            std::size_t onOtherVersion = 0;
            Json balancers = Json::array();
            std::string lines;
            for (const StatusProbe* probe : probes) {
                const BalancerStatus& status = probe->status.value();
                onOtherVersion += newest_ && status.configurationVersion != *newest_ ? 1 : 0;
                lines += fmt::format("\n  {} ({}): version {}, {}", status.name, probe->address.toString(),
                    status.configurationVersion, status.state);
                balancers.push_back({ { "name", status.name }, { "address", probe->address.toString() },
                    { "configuration_version", status.configurationVersion }, { "state", status.state } });
            }
            addLine(fmt::format("availability zone {}: {} balancers, {} on another version", name, probes.size(),
                newest_ ? std::to_string(onOtherVersion) : "unknown how many"));
            result_.text += lines;
            if (onOtherVersion != 0 && result_.exit == CtlExit::Done)
                result_.exit = CtlExit::Refused;
            return { { "name", name }, { "balancers", std::move(balancers) }, { "on_other_version", onOtherVersion } };
        }

        // Balancers ignore a lower version than their own. After the platform was restored from an older copy, the next
        // apply needs a number above theirs.
        void addOlderCopyWarning()
        {
            const bool isOlderCopy = newest_ && highest_ > *newest_;
            result_.json["older_copy_on_platform"] = isOlderCopy;
            if (isOlderCopy)
                addLine(fmt::format("the platform holds an older copy: a balancer runs version {}; apply the current "
                                    "file with --above_version {}",
                    highest_, highest_));
        }

        void addLine(const std::string& line)
        {
            if (!result_.text.empty())
                result_.text += "\n";
            result_.text += line;
        }

        std::uint64_t highest_;
        std::optional<std::uint64_t> newest_;
        std::map<std::string, std::vector<const StatusProbe*>> zones_;
        std::vector<std::string> unreachedLines_;
        Json unreached_ = Json::array();
        CtlResult result_;
    };

}

std::uint64_t highestVersionInForce(const std::vector<StatusProbe>& probes)
{
    std::uint64_t highest = 0;
    for (const StatusProbe& probe : probes) {
        if (probe.status)
            highest = std::max(highest, probe.status.value().configurationVersion);
    }
    return highest;
}

CtlResult reportStatus(const Result<std::uint64_t>& newestVersion, const std::vector<StatusProbe>& probes)
{
    return Report(newestVersion, probes).finish();
}

}
