#pragma once

#include "Core/Clock.h"
#include "Forward/RegisteredServer.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wisteriadock {

// What became of a server's entry; counted by ServerDirectory.
enum class EntryOutcome {
    Applied,
    Rejected, // It names no server.
    Held, // It may become valid with time or with a configuration.
    Contradicted, // It contradicts a server that is not known to have ended.
};

inline constexpr std::size_t entryOutcomes = 4;

// Why an entry was not applied.
enum class EntryReason {
    None,
    Unreadable,
    ServiceNotNamed, // No configuration has named its service.
    StartTimeMissing, // The server's earlier entries, or the servers in general, tell a start time.
    EarlierStart, // Possibly a delayed write of a former process.
    FormerProcess, // A write of a process that has ended.
    OtherService, // A known server's key names another service, and its process may still run.
    OtherAddress, // A known server's key names another address, and its process may still run.
    NumberInUse, // Another server's id stands for the same number in packets.
    AddressInUse, // Another server has the address and is not known to have ended.
};

std::string_view nameOf(EntryOutcome);
std::string_view nameOf(EntryReason);

struct EntryTimes {
    // The platform reuses an address at the earliest this long after its server has ended. A server that answered
    // within this time therefore still has its address. It exceeds the servers' write interval of 770 ms, so a living
    // server overwrites another writer's entry earlier.
    std::chrono::milliseconds addressReuseTime { 2000 };
    // An entry that may be a delayed write is applied if it is still the newest one of its key after this time.
    std::chrono::milliseconds delayedWriteHoldTime { 10000 };
    // A removed entry counts as gone after this time. A living server writes its entry again within 770 ms.
    std::chrono::milliseconds removalConfirmationTime { 1000 };
};

// What is known of the server of an entry's key and of the entry itself.
struct EntryFacts {
    // The entry that was applied last under this key; null if the server is unknown.
    const RegisteredServer* known = nullptr;
    // The known process has certainly ended.
    bool hasEnded = false;
    // An entry without a start time was applied under this key earlier.
    bool hasToldNoStartTime = false;
    bool isServiceNamed = true;
    // See StartTimeUse.
    bool isStartTimeExpected = false;
    bool isNumberTaken = false;
    // How long the entry has been the newest one of its key.
    Duration heldFor {};
    // The balancer's view of the store was up to date after the entry had arrived.
    bool isConfirmed = false;
    // Time since the known process last answered; Duration::max() if it never did.
    Duration silentFor = Duration::max();
};

struct EntryVerdict {
    enum class Action {
        Apply,
        Restart, // Apply it as the entry of another process.
        Hold, // The server stays in use with its former entry.
        Suspend, // The server gets no new flows and keeps its open ones; it neither ends nor moves.
    };

    Action action = Action::Apply;
    EntryOutcome outcome = EntryOutcome::Applied;
    EntryReason reason = EntryReason::None;

    bool operator==(const EntryVerdict&) const = default;
};

// Whether both entries are of one process, as far as entries tell.
bool isSameProcess(const RegisteredServer&, const RegisteredServer&);

// The rules of what an entry may prove about the server of its own key (docs/design/entries-freshness-load.md, part 1).
// An entry that is not applied is to be judged again while it is the newest one of its key.
EntryVerdict judgeEntry(const RegisteredServer&, const EntryFacts&, const EntryTimes&);

// The newest value of a server's key in the store.
enum class EntryPresence {
    Present, // It is the entry that is in force.
    Unusable, // It was rejected or is held.
    Removed,
};

// One of several servers whose entries have the same address.
struct AddressClaim {
    std::string_view service;
    std::uint64_t startedAt = 0;
    // When this balancer first saw the id at the address, and the store revision of that entry; 0 if the entry was of
    // the past.
    TimePoint atAddressSince;
    std::uint64_t atAddressRevision = 0;
    EntryPresence presence = EntryPresence::Present;
    TimePoint presenceSince;
    // The entry was removed for longer than a living server takes to write it again.
    bool isEntryMissing = false;
    // No doubt is left, either, that it stays so after an outage of the store.
    bool isEntryGone = false;
    // TimePoint::min() if the server never answered.
    TimePoint lastProgress = TimePoint::min();
    // Since when another server claims the address as well; TimePoint::max() if none does.
    TimePoint contestedSince = TimePoint::max();
    // The balancer's view of the store was up to date after contestedSince.
    bool isConfirmed = false;
};

// What two claims of one address prove about their servers.
struct AddressVerdict {
    bool hasFormerEnded = false;
    bool mayFormerTakeFlows = false;
    bool mayNewerTakeFlows = false;

    bool operator==(const AddressVerdict&) const = default;
};

// Whether the newer claim is of a later process. Start times decide if they differ. Neither the order of revisions nor
// the order of arrival suffices alone: a write of an ended process may take effect seconds after its successor has
// registered, and updates arrive on several paths. Without agreement of both, neither claim is later.
bool isLaterClaim(const AddressClaim& former, const AddressClaim& newer);

// Whether the server of a claim that is not known to have ended may still have its address. A living server replaces an
// unusable or missing entry within its write interval.
bool mayLive(const AddressClaim&, TimePoint now, const EntryTimes&);

// The rules for two servers at one address of which the second is later and may live.
AddressVerdict judgeAddress(const AddressClaim& former, const AddressClaim& newer, TimePoint now, const EntryTimes&);

}
