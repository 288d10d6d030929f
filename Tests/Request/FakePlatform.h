#pragma once

#include "EventSimulator.h"

#include "Request/TermReconciler.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace wisteriadock::testing {

// Ownership records under compare-and-swap, with outages, partitions and lost answers.
class FakePlatform {
public:
    FakePlatform(EventSimulator& simulator, FakePartitions& partitions)
        : simulator_(simulator)
        , partitions_(partitions)
    {
    }

    struct Record {
        std::optional<ClaimTerm> term;
        std::uint64_t revision = 0;
    };

    void read(
        const std::string& fromZone, const std::string& zone, const std::function<void(std::optional<Record>)>& reply)
    {
        simulator_.after(milliseconds(2), [=, this] {
            if (isUnreachable(fromZone))
                return reply(std::nullopt);
            reply(records_[zone]);
        });
    }

    void write(const std::string& fromZone, const WriteTerm& request,
        const std::function<void(TermWrite, std::uint64_t)>& reply)
    {
        simulator_.after(milliseconds(2), [=, this] {
            if (isUnreachable(fromZone))
                return reply(TermWrite::Unreached, 0);
            Record& record = records_[request.term.zone];
            if (record.revision != request.baseRevision)
                return reply(TermWrite::Conflict, 0);
            record.term = request.term;
            ++record.revision;
            if (simulator_.chance(0.1))
                return reply(TermWrite::Unknown, 0);
            reply(TermWrite::Written, record.revision);
        });
    }

    bool isOut = false;

private:
    bool isUnreachable(const std::string& zone) const
    {
        return isOut || partitions_.isBlocked(zone, "platform") || partitions_.isBlocked("platform", zone);
    }

    EventSimulator& simulator_;
    FakePartitions& partitions_;
    std::map<std::string, Record> records_;
};

}
