#pragma once

#include "Core/Clock.h"
#include "Forward/RegisteredServer.h"
#include "Forward/RequestOutcomes.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// A balancer's view of a backend server.
enum class ServerState {
    Ready,
    Draining,
    Doubtful, // Its entry vanished while the store may lose entries of live servers; it may reappear soon.
    Gone, // Its entry vanished. It may still serve open flows if it stops slowly or only lost the store.
    Ended, // Another incarnation has its address, so its process has certainly ended.
};

std::string_view nameOf(ServerState);

// What this balancer observes of a server. It sees only the packets from callers to servers; answers go to callers
// directly, so they show in the callers' acknowledgements.
struct ServerObservation {
    // Number of recently active flows, and of those with a request in progress.
    std::uint32_t flows = 0;
    std::uint32_t busy = 0;
    // When a packet last showed that the server answers.
    TimePoint lastProgress = TimePoint::min();
    // Since when an opening packet waits for an answer; TimePoint::max() if none does. An ejection ends the wait.
    TimePoint waitingSince = TimePoint::max();
    // When the first opening packet was sent after the server's last answer; TimePoint::max() if there is none.
    TimePoint unansweredSince = TimePoint::max();
    // Number of ejections since the server's last answer.
    std::uint32_t failures = 0;
    // The server is ejected until then.
    TimePoint ejectedUntil = TimePoint::min();
    // Whether the server answers the requests of its open flows.
    RequestOutcomes outcomes;
    // The server was reported as failing; see OpenFlowTable::tick().
    bool isFailing = false;
};

struct KnownServer;

// The servers of a service in one availability zone and their joint liveness; see GroupLiveness.
struct ServerGroup {
    std::string service;
    std::string availabilityZone;
    // Those that are neither gone nor ended, ordered by id.
    std::vector<KnownServer*> members {};
    // Those whose last opening packet may be unanswered. The others are known to answer.
    absl::flat_hash_set<KnownServer*> awaited {};
    // Of the requests to all servers of the group.
    RequestOutcomes outcomes {};
    // When a server of the group last answered.
    TimePoint lastProgress = TimePoint::min();
    // Number of ejections since the last answer.
    std::uint32_t failures = 0;
    TimePoint ejectedUntil = TimePoint::min();
    // Since when a trial flow waits for an answer; TimePoint::max() if none does.
    TimePoint trialSince = TimePoint::max();
    // When the group last failed, and when it last recovered.
    TimePoint failedAt = TimePoint::min();
    TimePoint returnedAt = TimePoint::min();
    // Number of servers that may take new flows, and of those that are unresponsive, as of the last change of the
    // group's liveness.
    std::uint32_t servers = 0;
    std::uint32_t unresponsive = 0;
};

// A server in the directory: its registered entry, its state and what this balancer observes of it.
struct KnownServer {
    RegisteredServer entry;
    std::uint32_t token = 0;
    // The store revision of the entry.
    std::uint64_t revision = 0;
    ServerState state = ServerState::Ready;
    // When the state was entered.
    TimePoint stateSince;
    // When this balancer first saw this process at this address, and the store revision of that entry; 0 if the entry
    // was of the past.
    TimePoint knownSince;
    std::uint64_t knownSinceRevision = 0;
    // When this balancer received the latest write of the entry.
    TimePoint writtenAt;
    // The process has announced that it leaves, and does not become ready again whatever its entry says.
    bool isLeaving = false;
    // An earlier process with the id belonged to another service; its flows must not reach this one.
    bool hasChangedService = false;
    TimePoint warmUntil;
    // Another server has the same token, so this one gets no new flows.
    bool hasTokenConflict = false;
    ServerObservation seen;
    // Owned by the directory; never null for a server in a directory.
    ServerGroup* group = nullptr;

    bool mayTakeFlows() const
    {
        return (state == ServerState::Ready || state == ServerState::Doubtful) && !hasTokenConflict;
    }
};

// Time limits of ServerDirectory.
struct DirectorySettings {
    // How long a server stays doubtful at least. After an outage of the store, entries reappear within this time.
    std::chrono::milliseconds minDoubtfulTime { 2000 };
    // A doubtful server counts as gone only if the store was reachable this long after the entry vanished. A balancer
    // that cannot reach the store would not learn that the entry has reappeared.
    std::chrono::milliseconds storeConfirmationTime { 1000 };
    // How long a server stays doubtful at most, even if the store stays unreachable.
    std::chrono::milliseconds maxDoubtfulTime { 10000 };
    // How long servers that are gone or ended can be found by their token. Longer than flows last.
    std::chrono::milliseconds retention { 75000 };
    // An entry with an earlier start time is ignored as a delayed write if it arrives within this time after the latest
    // write of the current entry, or after the store was restored from an older copy. Later, the server's clock is
    // assumed to have been set back between two starts.
    std::chrono::milliseconds earlierStartTimeout { 10000 };
    // The platform reuses an address at the earliest this long after its server has ended. A server that answered
    // within this time therefore still has its address.
    std::chrono::milliseconds addressReuseTime { 2000 };
};

// Whether an entry is known to be the newest one of its server.
enum class EntryAge {
    Newest,
    Past, // Shown by a store that was restored from an older copy.
};

// A change of a server's state; for the log.
struct ServerTransition {
    std::string id;
    std::string service;
    std::string availabilityZone;
    ServerState before = ServerState::Ready;
    ServerState after = ServerState::Ready;
    bool isNew = false;
    // Another process has the id now: the observation was reset, and the former process's flows are lost.
    bool isRestart = false;
};

// The registered backend servers, found by id, service or token. TokenRouter passes it the changes of their entries in
// the store. Servers whose entry vanished are kept for as long as they may have open flows.
class ServerDirectory {
public:
    using Transitions = std::vector<ServerTransition>;

    explicit ServerDirectory(DirectorySettings settings = {})
        : settings_(settings)
    {
    }

    // Adds or updates a server after a write of its entry at this store revision.
    Transitions put(const RegisteredServer&, std::uint64_t revision, TimePoint now, EntryAge = EntryAge::Newest);
    // Handles an entry that became unreadable: the server gets no new flows and keeps its open ones.
    Transitions invalidate(const std::string& id, std::uint64_t revision, TimePoint now);
    // Handles a vanished entry. If it is uncertain that the server has left, it becomes doubtful and keeps getting new
    // flows for a while, unless it is draining.
    Transitions remove(const std::string& id, bool isUncertain, TimePoint now);
    // The store was restored from an older copy and may show entries of processes that have been replaced.
    void noteStoreRestored(TimePoint now) { storeRestoredAt_ = now; }
    // Records that the balancer's view of the store was up to date at this time.
    void noteStoreContact(TimePoint at) { lastStoreContact_ = std::max(lastStoreContact_, at); }
    // Ends doubtful states and drops servers after DirectorySettings::retention.
    Transitions tick(TimePoint now);

    // Returns null for an unknown token.
    KnownServer* findByToken(std::uint32_t token);
    // Returns null for an unknown id.
    KnownServer* find(const std::string& id);
    // The groups of a service, ordered by availability zone. Some may be empty.
    const std::vector<ServerGroup*>& groupsOf(const std::string& service) const;
    // The servers of a service that are neither gone nor ended, ordered by availability zone and id.
    std::vector<KnownServer*> serversOf(const std::string& service) const;

    std::size_t size() const { return records_.size(); }
    std::size_t countOf(ServerState) const;
    // Number of servers reported as failing; see OpenFlowTable::tick().
    std::size_t countFailing() const;
    template <typename Visit> void forEach(const Visit& visit)
    {
        for (auto& [id, record] : records_)
            visit(*record);
    }

private:
    bool isOfEarlierStart(const KnownServer&, const RegisteredServer&, TimePoint now) const;
    void restart(KnownServer&, const RegisteredServer&, std::uint64_t revision, TimePoint now, Transitions&);
    void enter(KnownServer&, ServerState, TimePoint now, Transitions&);
    void setState(KnownServer&, ServerState, TimePoint now);
    bool isDoubtExpired(const KnownServer&, TimePoint now) const;
    void endFormerServersAt(Endpoint, TimePoint now, Transitions&);
    bool isReplacedBy(const KnownServer& former, const KnownServer& other, TimePoint now) const;
    // Returns whether the entry is a delayed write of a process that has certainly ended.
    bool isLateWrite(const KnownServer&, const RegisteredServer&) const;
    void claimToken(KnownServer&);
    ServerGroup* groupOf(const RegisteredServer&);
    void setGroup(KnownServer&, ServerGroup*);
    static void addToGroup(KnownServer&);
    static void removeFromGroup(KnownServer&);
    void drop(KnownServer&);

    DirectorySettings settings_;
    absl::flat_hash_map<std::string, std::unique_ptr<KnownServer>> records_;
    absl::flat_hash_map<std::uint32_t, KnownServer*> byToken_;
    // Servers that are doubtful, gone or ended. Only these change with time, and they are few among thousands.
    absl::flat_hash_set<KnownServer*> expiring_;
    // By service. There are few groups, and none is dropped.
    absl::flat_hash_map<std::string, std::vector<ServerGroup*>> groupsByService_;
    std::vector<std::unique_ptr<ServerGroup>> groups_;
    // All known incarnations with the address, including ended ones.
    absl::flat_hash_map<Endpoint, std::vector<KnownServer*>> byAddress_;
    TimePoint lastStoreContact_ = TimePoint::min();
    TimePoint storeRestoredAt_ = TimePoint::min();
};

}
