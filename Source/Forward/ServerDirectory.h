#pragma once

#include "Core/Clock.h"
#include "Forward/EntryValidation.h"
#include "Forward/RegisteredServer.h"
#include "Forward/RequestOutcomes.h"
#include "Forward/StartTimeUse.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
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

// Whether servers in this state get no new flows for good, unless their entry comes back.
inline bool isTerminated(ServerState state) { return state == ServerState::Gone || state == ServerState::Ended; }

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

struct ConfigurationChange;
struct FlowRoute;
struct ForwardingConfiguration;
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
    // When this balancer first saw the id at its address, and the store revision of that entry; 0 if the entry was of
    // the past. A restart at the same address does not change them.
    TimePoint atAddressSince;
    std::uint64_t atAddressRevision = 0;
    // When this balancer received the latest write of the entry.
    TimePoint writtenAt;
    // The process has announced that it leaves, and does not become ready again whatever its entry says.
    bool isLeaving = false;
    // An earlier process with the id belonged to another service; its flows must not reach this one.
    bool hasChangedService = false;
    TimePoint warmUntil;
    // What the store holds under the server's key, and since when.
    EntryPresence presence = EntryPresence::Present;
    TimePoint presenceSince;
    // The entry was removed while the store may lose entries of live servers.
    bool isRemovalUncertain = false;
    // When the entry arrived that first named the address. It may have been held until atAddressSince.
    TimePoint claimedSince;
    // Since when another server claims the address as well; TimePoint::max() if none does.
    TimePoint contestedSince = TimePoint::max();
    // Another server's entry has the same address, so this one gets no new flows for the time being.
    bool isContested = false;
    // An entry without a start time was applied earlier, so one with a start time may be of another writer.
    bool hasToldNoStartTime = false;
    // As StartTimeUse counts it.
    StartTimeVote startTimeVote = StartTimeVote::None;
    // Another server has the same token, so this one gets no new flows.
    bool hasTokenConflict = false;
    ServerObservation seen;
    // Owned by the directory; never null for a server in a directory.
    ServerGroup* group = nullptr;

    bool mayTakeFlows() const
    {
        return (state == ServerState::Ready || state == ServerState::Doubtful) && !hasTokenConflict && !isContested;
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
    EntryTimes entries;
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

// An entry that contradicts what is known; for the log.
struct EntryConflict {
    // The id in the entry's key, and the server that it contradicts. They differ if two entries have one address.
    std::string id;
    std::string server;
    EntryReason reason = EntryReason::None;
    EntryOutcome outcome = EntryOutcome::Held;
    std::string service;
    std::uint64_t revision = 0;
};

// The registered backend servers, found by id, service or token. TokenRouter passes it the changes of their entries in
// the store. Servers whose entry vanished are kept for as long as they may have open flows. Entries that may come from
// another writer, or too late, are judged by EntryValidation and kept aside until they apply or are overwritten.
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
    // Adds to the services that entries may name. Before the first call they may name any. reviewEntries() applies the
    // entries that were held until now.
    void addServices(const ForwardingConfiguration&);
    void addServices(const ConfigurationChange&);
    // Judges again the entries that are not applied. tick() does so as well.
    Transitions reviewEntries(TimePoint now);
    // Records that a server of the directory has answered.
    void noteAnswer(KnownServer& server) { countStartTime(server); }
    // Records that the balancer's view of the store was up to date at this time.
    void noteStoreContact(TimePoint at) { lastStoreContact_ = std::max(lastStoreContact_, at); }
    // Ends doubtful states and drops servers after DirectorySettings::retention.
    Transitions tick(TimePoint now);

    // Returns null for an unknown token.
    KnownServer* findByToken(std::uint32_t token);
    // Returns a server that is not in the directory because no configuration has named its service since this balancer
    // started. It may have open flows, which the configuration that dropped the service leaves where they are. Returns
    // null if there is none, or if a known server has its address.
    const KnownServer* findUnnamed(std::uint32_t token) const;
    // Returns null for an unknown id.
    KnownServer* find(const std::string& id);
    // The groups of a service, ordered by availability zone. Some may be empty.
    const std::vector<ServerGroup*>& groupsOf(const std::string& service) const;
    // The servers of a service that are neither gone nor ended, ordered by availability zone and id.
    std::vector<KnownServer*> serversOf(const std::string& service) const;

    // Returns the conflicts since the last call, one for each key until its entry changes.
    std::vector<EntryConflict> takeConflicts() { return std::exchange(conflicts_, {}); }
    std::uint64_t countOf(EntryOutcome outcome) const { return outcomes_[static_cast<std::size_t>(outcome)]; }
    // Number of entries that are valid or may become so, and are not applied.
    std::size_t heldEntries() const { return held_.size(); }

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
    // The newest entry of a key and the time when it arrived.
    struct ReceivedEntry {
        RegisteredServer entry;
        std::uint64_t revision = 0;
        EntryAge age = EntryAge::Newest;
        TimePoint since;
        // Why it is not applied.
        EntryReason reason = EntryReason::None;
    };
    // The conflicts of one entry that were reported, by the servers that it contradicts.
    struct ReportedConflicts {
        RegisteredServer entry;
        std::set<std::string> servers;
    };

    void addServices(const absl::flat_hash_set<std::string>&, const std::vector<FlowRoute>&);
    bool isNamed(const std::string& service) const { return !hasServices_ || services_.contains(service); }
    // Keeps an entry that is not applied, in place of the former one of its key.
    void hold(ReceivedEntry&&);
    void releaseHeld(const std::string& id);
    // Applies an entry, or holds it, as judgeEntry() decides.
    void admit(ReceivedEntry&&, TimePoint now, Transitions&);
    EntryFacts factsOf(const ReceivedEntry&, const KnownServer*, TimePoint now) const;
    void apply(const ReceivedEntry&, bool isRestart, TimePoint now, Transitions&);
    // The server gets no new flows and keeps its open ones until a valid entry arrives.
    void suspend(KnownServer&, TimePoint now, Transitions&);
    void setPresence(KnownServer&, EntryPresence, TimePoint now);
    bool isEntryMissing(const KnownServer&, TimePoint now) const;
    bool isEntryGone(const KnownServer&, TimePoint now) const;
    void count(EntryOutcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
    // Returns whether the conflict is new.
    bool report(const ReceivedEntry&, const std::string& server, EntryReason, EntryOutcome);
    void forgetReports(const std::string& id);
    void countStartTime(KnownServer&);
    void setStartTimeVote(KnownServer&, StartTimeVote);
    // Judges the entries without a start time again if one is now expected, or no longer is.
    void reviewStartTimes(TimePoint now, Transitions&);
    void restart(KnownServer&, const RegisteredServer&, TimePoint now, Transitions&);
    void enter(KnownServer&, ServerState, TimePoint now, Transitions&);
    void setState(KnownServer&, ServerState, TimePoint now);
    bool isDoubtExpired(TimePoint since, TimePoint now) const;
    // Decides which of the servers at an address have ended, and which of them may take new flows.
    void reviewAddress(Endpoint, TimePoint now, Transitions&);
    void endFormerServersAt(const std::vector<KnownServer*>&, TimePoint now, Transitions&);
    bool isSucceeded(const KnownServer& former, const KnownServer& newer, TimePoint now) const;
    AddressClaim claimOf(const KnownServer&, TimePoint now) const;
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
    // Those of them that several servers have which may live.
    absl::flat_hash_set<Endpoint> contestedAddresses_;
    TimePoint lastStoreContact_ = TimePoint::min();
    // All services that a configuration has named.
    absl::flat_hash_set<std::string> services_;
    bool hasServices_ = false;
    // By id. Newest entries that are not applied; those that can't be read are not kept.
    absl::flat_hash_map<std::string, ReceivedEntry> held_;
    // By token. The servers of those held entries whose service is not named and whose id is unknown.
    absl::flat_hash_map<std::uint32_t, std::unique_ptr<KnownServer>> unnamed_;
    // By id and reason, since an entry that is held and one that is in force may differ.
    std::map<std::pair<std::string, EntryReason>, ReportedConflicts> reported_;
    std::vector<EntryConflict> conflicts_;
    std::array<std::uint64_t, entryOutcomes> outcomes_ {};
    StartTimeUse startTimes_;
};

}
