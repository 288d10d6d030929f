#pragma once

#include "Core/Clock.h"
#include "Forward/ServiceLoad.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

struct ServerGroup;

// How a request ended, as the caller's packets show it.
enum class RequestOutcome {
    Served,
    Rejected, // The server answered that it did not run the request.
    Unanswered,
};

// The load of one priority class of a service at the servers of one zone, by the callers of one balancer or zone.
struct ObservedLoad {
    std::string service;
    std::string serverZone;
    std::uint32_t priority = 0;
    RequestLoad load;
};

// Adds rates and requests in progress, and weights the answer times by the served requests.
void addLoad(RequestLoad& sum, const RequestLoad&);
// Multiplies all but the answer time.
RequestLoad scaledLoad(const RequestLoad&, float factor);

// Measures the requests that pass this balancer, by service, priority and zone of servers. OpenFlowTable reports each
// change of a flow; the averages over time are computed from these changes, so no flow or server is visited.
class RequestLoadMeter {
public:
    // Identifies a class of requests for as long as the meter exists.
    using Cell = std::uint32_t;
    static constexpr Cell noCell = std::numeric_limits<Cell>::max();

    Cell cellOf(const ServerGroup&, std::uint32_t priority);

    // A request was sent to a server of the cell.
    void begin(Cell, TimePoint now);
    // A request in progress is over, or moves to another cell.
    void end(Cell, TimePoint now);
    // A request in progress came from another cell: it is not counted as begun again.
    void resume(Cell, TimePoint now);
    // A request that is about to end was over this much earlier.
    void discount(Cell, Duration);
    // The outcome of a request, which may be known before or after the end.
    void count(Cell, RequestOutcome, Duration answerTime = {});

    // Returns the load since the last call, without cells that had none. The first call returns nothing.
    std::vector<ObservedLoad> take(TimePoint now);

private:
    struct Row {
        const ServerGroup* group = nullptr;
        std::uint32_t priority = 0;
        std::uint32_t inProgress = 0;
        std::uint32_t begun = 0;
        std::uint32_t served = 0;
        std::uint32_t rejected = 0;
        std::uint32_t unanswered = 0;
        Duration answerTimes {};
        // Requests in progress times time, up to changedAt.
        std::chrono::duration<double> requestTime {};
        TimePoint changedAt;
        bool isActive = false;
    };

    void advance(Row&, TimePoint now);
    Row& activate(Cell);
    static ObservedLoad loadOf(const Row&, Duration interval);

    std::vector<Row> rows_;
    absl::flat_hash_map<std::pair<const ServerGroup*, std::uint32_t>, Cell> cells_;
    // The cells that had load since the last call of take().
    std::vector<Cell> active_;
    TimePoint intervalBegan_;
    bool hasInterval_ = false;
};

}
