#include "Forward/ServerDirectory.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // An entry that vanished in an outage of the store may reappear.
    bool claimsAddress(const KnownServer& server)
    {
        return server.state != ServerState::Ended
            && (server.presence == EntryPresence::Present || server.state == ServerState::Doubtful);
    }

}

// An address is reused only after its former server has ended. But an entry of another writer can name the address of a
// server that lives, so the former one ends only when its own entry is gone and it answers no more.
void ServerDirectory::reviewAddress(Endpoint address, TimePoint now, Transitions& transitions)
{
    const auto found = byAddress_.find(address);
    if (found == byAddress_.end()) {
        contestedAddresses_.erase(address);
        return;
    }
    const std::vector<KnownServer*>& servers = found->second;
    endFormerServersAt(servers, now, transitions);
    std::size_t possiblyAlive = 0;
    for (KnownServer* record : servers) {
        record->isContested = false;
        possiblyAlive += record->state != ServerState::Ended;
    }
    if (possiblyAlive < 2)
        contestedAddresses_.erase(address);
    else
        contestedAddresses_.insert(address);
    for (KnownServer* former : servers) {
        for (KnownServer* newer : servers) {
            if (!isSucceeded(*former, *newer, now))
                continue;
            const AddressVerdict verdict
                = judgeAddress(claimOf(*former, now), claimOf(*newer, now), now, settings_.entries);
            former->isContested = former->isContested || !verdict.mayFormerTakeFlows;
            newer->isContested = newer->isContested || !verdict.mayNewerTakeFlows;
            if (verdict.mayNewerTakeFlows || isTerminated(former->state) || !claimsAddress(*newer))
                continue;
            const ReceivedEntry received { newer->entry, newer->revision, EntryAge::Newest, newer->writtenAt };
            if (report(received, former->entry.id, EntryReason::AddressInUse, EntryOutcome::Contradicted))
                count(EntryOutcome::Contradicted);
        }
    }
}

void ServerDirectory::endFormerServersAt(
    const std::vector<KnownServer*>& servers, TimePoint now, Transitions& transitions)
{
    for (KnownServer* record : servers) {
        TimePoint claimedSince = TimePoint::max();
        for (const KnownServer* other : servers) {
            if (other != record && claimsAddress(*other))
                claimedSince = std::min(claimedSince, std::max(other->claimedSince, record->atAddressSince));
        }
        const bool isNewlyContested = record->contestedSince == TimePoint::max();
        if (isNewlyContested || claimedSince == TimePoint::max())
            record->contestedSince = claimedSince;
    }
    for (KnownServer* former : servers) {
        for (KnownServer* newer : servers) {
            if (!isSucceeded(*former, *newer, now) || newer->presence != EntryPresence::Present)
                continue;
            if (judgeAddress(claimOf(*former, now), claimOf(*newer, now), now, settings_.entries).hasFormerEnded)
                enter(*former, ServerState::Ended, now, transitions);
        }
    }
}

// Whether a later server, which may live, has the address of a server that is not known to have ended.
bool ServerDirectory::isSucceeded(const KnownServer& former, const KnownServer& newer, TimePoint now) const
{
    if (&former == &newer || former.state == ServerState::Ended || newer.state == ServerState::Ended)
        return false;
    const AddressClaim claim = claimOf(newer, now);
    return mayLive(claim, now, settings_.entries) && isLaterClaim(claimOf(former, now), claim);
}

AddressClaim ServerDirectory::claimOf(const KnownServer& record, TimePoint now) const
{
    AddressClaim claim;
    claim.service = record.entry.service;
    claim.startedAt = record.entry.startedAt;
    claim.atAddressSince = record.atAddressSince;
    claim.atAddressRevision = record.atAddressRevision;
    // A doubtful entry may reappear.
    claim.presence = record.state == ServerState::Doubtful ? EntryPresence::Present : record.presence;
    claim.presenceSince = record.presenceSince;
    claim.isEntryMissing = isEntryMissing(record, now);
    claim.isEntryGone = isEntryGone(record, now);
    claim.lastProgress = record.seen.lastProgress;
    claim.contestedSince = record.contestedSince;
    // An ended server's entry is removed within three write intervals of 770 ms; the view must be of after that.
    claim.isConfirmed = record.contestedSince != TimePoint::max() && lastStoreContact_ != TimePoint::min()
        && lastStoreContact_ - record.contestedSince
            >= settings_.entries.addressReuseTime + settings_.entries.removalConfirmationTime;
    return claim;
}

}
