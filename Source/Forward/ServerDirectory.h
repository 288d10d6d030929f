#pragma once

#include "Core/Clock.h"
#include "Forward/RegisteredServer.h"
#include "Forward/RequestOutcomes.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// What a balancer believes of a backend server.
enum class ServerState {
    Ready,
    Draining,
    Doubtful, // Its entry vanished while entries may vanish of servers that live; it may be back soon.
    Gone, // Its entry vanished. It may still hold flows, when it left slowly or only lost the store.
    Ended, // Another incarnation has its address, so its process is certainly over.
};

std::string_view nameOf(ServerState);

// What this balancer sees of a server in the packets that it forwards; callers' packets only, as servers answer callers
// directly.
struct ServerObservation {
    // Open flows that were active lately, and those of them with a request in progress.
    std::uint32_t flows = 0;
    std::uint32_t busy = 0;
    // When a packet last proved that the server answers.
    TimePoint lastProgress = TimePoint::min();
    // Since when an opening packet waits for any sign of the server; TimePoint::max() when none does.
    TimePoint waitingSince = TimePoint::max();
    // When the first opening packet was sent there that was not answered since its last sign of life; TimePoint::max()
    // when there is none.
    TimePoint unansweredSince = TimePoint::max();
    // Tries that the server left unanswered since its last sign of life.
    std::uint32_t failures = 0;
    // Until when it gets no new flows.
    TimePoint ejectedUntil = TimePoint::min();
    // Whether it answers the requests of its open flows.
    RequestOutcomes outcomes;
    // It left so many unanswered that this was told; see OpenFlowTable::tick().
    bool isFailing = false;
};

// The servers of a service in one availability zone, and what this balancer saw of them together; see GroupLiveness.
struct ServerGroup {
    std::string service;
    std::string availabilityZone;
    // When one of them last proved that it answers.
    TimePoint lastProgress = TimePoint::min();
    // How often all of them were left out in a row, until when, and since when a trial of them waits; TimePoint::max()
    // when none does.
    std::uint32_t failures = 0;
    TimePoint ejectedUntil = TimePoint::min();
    TimePoint trialSince = TimePoint::max();
    // When all of them were left out last, and when they were back after it.
    TimePoint failedAt = TimePoint::min();
    TimePoint returnedAt = TimePoint::min();
    // Counted by the review in progress.
    std::uint32_t servers = 0;
    std::uint32_t unresponsive = 0;
};

struct KnownServer {
    RegisteredServer entry;
    std::uint32_t token = 0;
    // The store's revision of the entry.
    std::uint64_t revision = 0;
    ServerState state = ServerState::Ready;
    // When the state was entered.
    TimePoint stateSince;
    // Since when this balancer knows of this process at this address, and the revision by which it learned of it.
    TimePoint knownSince;
    std::uint64_t knownSinceRevision = 0;
    // When the entry was written last, as far as this balancer knows.
    TimePoint writtenAt;
    // An earlier process under the id belonged to another service, so its flows must not reach this one.
    bool hasChangedService = false;
    TimePoint warmUntil;
    // Another living server has the same token, so packets could not be told apart: it gets no flows.
    bool hasTokenConflict = false;
    ServerObservation seen;
    // Never null for a server of a directory, which owns it.
    ServerGroup* group = nullptr;

    bool mayTakeFlows() const
    {
        return (state == ServerState::Ready || state == ServerState::Doubtful) && !hasTokenConflict;
    }
};

struct DirectorySettings {
    // How long a vanished entry may be back after an outage of the store (the store's operators promise two seconds).
    std::chrono::milliseconds minDoubtfulTime { 2000 };
    // The store must have been heard so long after the entry vanished, or its absence says nothing: a zone that is cut
    // off from the store never hears that its servers are back.
    std::chrono::milliseconds storeConfirmationTime { 1000 };
    // Without hearing of the store a server stays in doubt for so long.
    std::chrono::milliseconds maxDoubtfulTime { 10000 };
    // How long servers that are gone stay known by their tokens: flows last up to a minute (the platform's bound).
    std::chrono::milliseconds retention { 75000 };
    // A write that was under way when its process ended may reach the store after those of the next one (the store's
    // operators speak of seconds). An entry of an earlier start counts only if the later one has been silent for so
    // long: then the server's clock was set back between two starts.
    std::chrono::milliseconds earlierStartTimeout { 10000 };
    // An address is given away so long after its server has ended (the platform's bound), so a server that gave a sign
    // of life since then still has its address, whoever else names it.
    std::chrono::milliseconds addressReuseTime { 2000 };
};

// A change of what the balancer believes of one server, for the log.
struct ServerTransition {
    std::string id;
    std::string service;
    std::string availabilityZone;
    ServerState before = ServerState::Ready;
    ServerState after = ServerState::Ready;
    bool isNew = false;
    // Another process took over the id: what was known of the former one is void, and its flows are lost.
    bool isRestart = false;
};

// The backend servers that registered themselves: by service, and by token. Forgets nobody whose flows may be open.
class ServerDirectory {
public:
    using Transitions = std::vector<ServerTransition>;

    explicit ServerDirectory(DirectorySettings settings = {})
        : settings_(settings)
    {
    }

    // A server's entry was written, at a revision of the store.
    Transitions put(const RegisteredServer&, std::uint64_t revision, TimePoint now);
    // Its entry can't be used any more: no new flows go there, and those that are open stay.
    Transitions invalidate(const std::string& id, std::uint64_t revision, TimePoint now);
    // Its entry vanished. In doubt a ready server keeps getting flows for a while, because it may be back.
    Transitions remove(const std::string& id, bool isUncertain, TimePoint now);
    // The store told what is certain, at this time.
    void noteStoreContact(TimePoint at) { lastStoreContact_ = std::max(lastStoreContact_, at); }
    // Ends doubts and forgets servers whose flows are over.
    Transitions tick(TimePoint now);

    // Null for a token that nobody here knows.
    KnownServer* findByToken(std::uint32_t token);
    KnownServer* find(const std::string& id);
    // The servers of a service that are not gone, in the order of their ids; empty for a service without any.
    const std::vector<KnownServer*>& serversOf(const std::string& service);

    std::size_t size() const { return records_.size(); }
    std::size_t countOf(ServerState) const;
    // How many are told as failing now; see OpenFlowTable::tick().
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
    bool isDoubtExpired(const KnownServer&, TimePoint now) const;
    void endFormerServersAt(Endpoint, TimePoint now, Transitions&);
    bool isReplacedBy(const KnownServer& former, const KnownServer& other, TimePoint now) const;
    // A write of a process that is certainly over, which took effect late.
    bool isLateWrite(const KnownServer&, const RegisteredServer&) const;
    void claimToken(KnownServer&);
    ServerGroup* groupOf(const RegisteredServer&);
    void forget(const KnownServer&);
    void index();

    DirectorySettings settings_;
    absl::flat_hash_map<std::string, std::unique_ptr<KnownServer>> records_;
    absl::flat_hash_map<std::uint32_t, KnownServer*> byToken_;
    // By service and zone. There are few, and none is forgotten.
    absl::flat_hash_map<std::pair<std::string, std::string>, std::unique_ptr<ServerGroup>> groups_;
    // Every incarnation that had the address, also those that are over.
    absl::flat_hash_map<Endpoint, std::vector<KnownServer*>> byAddress_;
    // Made anew when it is asked for after a change, since a listing changes thousands of servers at once.
    absl::flat_hash_map<std::string, std::vector<KnownServer*>> byService_;
    bool isIndexed_ = true;
    TimePoint lastStoreContact_ = TimePoint::min();
};

}
