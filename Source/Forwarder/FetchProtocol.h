#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Net/HttpMessage.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreDelta.h"
#include "StoreSync/StoreReplica.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// The request for the changes that a balancer lacks. `address` is the balancer that is asked.
HttpRequest fetchRequest(const FetchDelta&);

// The delta in the answer to a fetch. Fails with Unavailable for another status than 200, and with InvalidArgument when
// the body is malformed or too large.
Result<StoreDelta> deltaOf(const HttpResponse&);

// Answers the fetches of other balancers with deltas of the replica, compressed (zstd) if they accept that. Hundreds
// may ask for the same delta at once, so the last answers are kept for a moment and shared by their responses. Used by
// PeerSync.
class FetchAnswers {
public:
    // Whether a balancer of this zone needs the update to serve its callers, which answers of FetchScope::OwnZone are
    // limited to.
    using OwnZoneFilter = std::function<bool(const StoreUpdate&)>;

    // The replica must outlive this object.
    FetchAnswers(const StoreReplica& replica, OwnZoneFilter isOfOwnZone)
        : replica_(replica)
        , isOfOwnZone_(std::move(isOfOwnZone))
    {
    }

    // A response with status 404 if the request is no fetch.
    HttpResponse answer(const HttpRequest&, TimePoint now);
    // Drops answers that are no longer kept.
    void tick(TimePoint now);

private:
    struct Kind {
        std::uint64_t after = 0;
        // The revision up to which the replica was complete.
        std::uint64_t to = 0;
        StoreReplica::Encoding encoding = StoreReplica::Encoding::Full;
        FetchScope scope = FetchScope::Everything;
        bool isCompressed = false;

        bool operator==(const Kind&) const = default;
    };
    struct Answer {
        Kind kind;
        std::shared_ptr<const std::string> body;
        TimePoint madeAt;
    };

    // Ages of updates in an answer are wrong by as long as it is kept. Only logs and metrics show them.
    static constexpr std::chrono::milliseconds lifetime { 1000 };
    static constexpr std::size_t maxAnswers = 4;
    // A replica with fewer entries is sent whole, since a second fetch would take longer.
    static constexpr std::size_t minEntriesForScopes = 1000;

    Kind kindOf(const HttpRequest&, std::uint64_t after) const;
    std::shared_ptr<const std::string> bodyOf(const Kind&, TimePoint now);

    const StoreReplica& replica_;
    const OwnZoneFilter isOfOwnZone_;
    // Oldest first.
    std::vector<Answer> answers_;
};

}
