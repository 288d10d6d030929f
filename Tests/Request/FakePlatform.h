#pragma once

#include "FakeWorld.h"

#include "Request/TermReconciler.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace wisteriadock::testing {

// Ownership records under compare-and-swap, with outages, cuts and lost answers.
class FakePlatform {
public:
    FakePlatform(FakeWorld& world, FakeCuts& cuts)
        : world_(world)
        , cuts_(cuts)
    {
    }

    struct Record {
        std::optional<ClaimTerm> term;
        std::uint64_t revision = 0;
    };

    void read(
        const std::string& fromZone, const std::string& zone, const std::function<void(std::optional<Record>)>& reply)
    {
        world_.after(milliseconds(2), [=, this] {
            if (isAway(fromZone))
                return reply(std::nullopt);
            reply(records_[zone]);
        });
    }

    void write(const std::string& fromZone, const WriteTerm& request,
        const std::function<void(TermWrite, std::uint64_t)>& reply)
    {
        world_.after(milliseconds(2), [=, this] {
            if (isAway(fromZone))
                return reply(TermWrite::Unreached, 0);
            Record& record = records_[request.term.zone];
            if (record.revision != request.baseRevision)
                return reply(TermWrite::Conflict, 0);
            record.term = request.term;
            ++record.revision;
            if (world_.chance(0.1))
                return reply(TermWrite::Unknown, 0);
            reply(TermWrite::Written, record.revision);
        });
    }

    bool isOut = false;

private:
    bool isAway(const std::string& zone) const
    {
        return isOut || cuts_.isCut(zone, "platform") || cuts_.isCut("platform", zone);
    }

    FakeWorld& world_;
    FakeCuts& cuts_;
    std::map<std::string, Record> records_;
};

}
