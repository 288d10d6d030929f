#include "Forward/EntryValidation.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    using Action = EntryVerdict::Action;

    constexpr auto outcomeNames = makeNameTable<EntryOutcome>({
        { EntryOutcome::Applied, "applied" },
        { EntryOutcome::Rejected, "rejected" },
        { EntryOutcome::Held, "held" },
        { EntryOutcome::Contradicted, "contradicted" },
    });
    static_assert(outcomeNames.rows().size() == entryOutcomes);

    constexpr auto reasonNames = makeNameTable<EntryReason>({
        { EntryReason::None, "none" },
        { EntryReason::Unreadable, "unreadable" },
        { EntryReason::ServiceNotNamed, "service_not_named" },
        { EntryReason::StartTimeMissing, "start_time_missing" },
        { EntryReason::EarlierStart, "earlier_start" },
        { EntryReason::FormerProcess, "former_process" },
        { EntryReason::OtherService, "other_service" },
        { EntryReason::OtherAddress, "other_address" },
        { EntryReason::NumberInUse, "number_in_use" },
        { EntryReason::AddressInUse, "address_in_use" },
    });

    bool hasAnsweredWithin(const AddressClaim& claim, Duration limit, TimePoint now)
    {
        return claim.lastProgress != TimePoint::min() && now - claim.lastProgress < limit;
    }

    bool areStartTimesOrdered(const AddressClaim& one, const AddressClaim& other)
    {
        return one.startedAt != 0 && other.startedAt != 0 && one.startedAt != other.startedAt;
    }

    bool isContestedFor(const AddressClaim& claim, Duration time, TimePoint now)
    {
        return claim.contestedSince != TimePoint::max() && now - claim.contestedSince >= time;
    }

    bool isStartTimeMissing(const RegisteredServer& entry, const EntryFacts& facts)
    {
        const bool hasAlwaysToldOne = facts.known && facts.known->startedAt != 0 && !facts.hasToldNoStartTime;
        return entry.startedAt == 0 && (facts.isStartTimeExpected || hasAlwaysToldOne);
    }

    // Longer than an entry of a living server can be held, which is applied at the tick after the hold time.
    bool isUnusableForLong(const AddressClaim& claim, TimePoint now, const EntryTimes& times)
    {
        return claim.presence == EntryPresence::Unusable
            && now - claim.presenceSince >= times.delayedWriteHoldTime + times.removalConfirmationTime;
    }

    // Two entries of one listing arrive within less than this, so it tells which server had the address first.
    bool hasAddressLonger(const AddressClaim& claim, const AddressClaim& other, const EntryTimes& times)
    {
        return other.atAddressSince - claim.atAddressSince >= times.addressReuseTime;
    }

    // The platform removes the entry of an ended server after three missed writes, so one that stands for long is still
    // being written.
    bool isFormerAlive(const AddressClaim& former, const AddressClaim& newer, TimePoint now, const EntryTimes& times)
    {
        const bool hasAnswered
            = former.lastProgress != TimePoint::min() && former.lastProgress >= former.contestedSince;
        return former.presence == EntryPresence::Present && isContestedFor(former, times.delayedWriteHoldTime, now)
            && (hasAnswered || (former.isConfirmed && hasAddressLonger(former, newer, times)));
    }

    // After an outage, a delayed write of an ended process may stand beside the missing entry of a living server. Start
    // times tell such a write, so an entry that is missing needs no further proof where they are known.
    bool isFormerGone(const AddressClaim& former, const AddressClaim& newer)
    {
        return former.isEntryGone || (former.isEntryMissing && areStartTimesOrdered(former, newer));
    }

    // Requests of the newer entry's service must not reach a former server that lives, also if it is idle. So the newer
    // entry is used only if there is evidence against the former one, or if both are of one listing and service.
    bool mayNewerTakeFlows(
        const AddressClaim& former, const AddressClaim& newer, TimePoint now, const EntryTimes& times)
    {
        if (hasAnsweredWithin(former, times.addressReuseTime, now))
            return false;
        if (hasAddressLonger(newer, former, times) || hasAnsweredWithin(newer, times.addressReuseTime, now))
            return true;
        return isUnusableForLong(former, now, times)
            || (former.service == newer.service && !hasAddressLonger(former, newer, times));
    }

}

std::string_view nameOf(EntryOutcome outcome) { return outcomeNames.name(outcome); }

std::string_view nameOf(EntryReason reason) { return reasonNames.name(reason); }

bool isSameProcess(const RegisteredServer& one, const RegisteredServer& other)
{
    return one.startedAt == other.startedAt && one.service == other.service && one.address == other.address;
}

bool mayLive(const AddressClaim& claim, TimePoint now, const EntryTimes& times)
{
    if (hasAnsweredWithin(claim, times.addressReuseTime, now))
        return true;
    if (claim.presence == EntryPresence::Unusable)
        return !isUnusableForLong(claim, now, times);
    return !claim.isEntryGone;
}

EntryVerdict judgeEntry(const RegisteredServer& entry, const EntryFacts& facts, const EntryTimes& times)
{
    if (!facts.isServiceNamed)
        return { Action::Suspend, EntryOutcome::Held, EntryReason::ServiceNotNamed };
    if (isStartTimeMissing(entry, facts))
        return { Action::Suspend, EntryOutcome::Rejected, EntryReason::StartTimeMissing };
    if (facts.isNumberTaken)
        return { Action::Hold, EntryOutcome::Contradicted, EntryReason::NumberInUse };
    if (!facts.known)
        return {};
    const RegisteredServer& known = *facts.known;
    const bool hasStoodLong = facts.heldFor >= times.delayedWriteHoldTime;
    if (facts.hasEnded && entry.startedAt == known.startedAt && entry.address == known.address && !hasStoodLong)
        return { Action::Hold, EntryOutcome::Held, EntryReason::FormerProcess };
    if (entry.startedAt < known.startedAt && !hasStoodLong)
        return { Action::Hold, EntryOutcome::Held, EntryReason::EarlierStart };
    const bool isOfOtherService = entry.service != known.service;
    if (!facts.hasEnded && (isOfOtherService || entry.address != known.address)) {
        // Flows through other balancers may already reach the new process, so answers count only for the hold time.
        const bool isSilent = facts.silentFor >= times.addressReuseTime || hasStoodLong;
        if (facts.heldFor < times.addressReuseTime || !facts.isConfirmed || !isSilent)
            return { Action::Suspend, EntryOutcome::Contradicted,
                isOfOtherService ? EntryReason::OtherService : EntryReason::OtherAddress };
    }
    return { isSameProcess(entry, known) ? Action::Apply : Action::Restart };
}

bool isLaterClaim(const AddressClaim& former, const AddressClaim& newer)
{
    if (areStartTimesOrdered(former, newer))
        return former.startedAt < newer.startedAt;
    return former.atAddressSince < newer.atAddressSince && former.atAddressRevision < newer.atAddressRevision;
}

AddressVerdict judgeAddress(
    const AddressClaim& former, const AddressClaim& newer, TimePoint now, const EntryTimes& times)
{
    AddressVerdict verdict;
    if (newer.presence != EntryPresence::Present) {
        verdict.mayFormerTakeFlows = hasAddressLonger(former, newer, times);
        return verdict;
    }
    verdict.hasFormerEnded = isFormerGone(former, newer) && !hasAnsweredWithin(former, times.addressReuseTime, now);
    verdict.mayNewerTakeFlows = verdict.hasFormerEnded || mayNewerTakeFlows(former, newer, now, times);
    verdict.mayFormerTakeFlows = !verdict.mayNewerTakeFlows && isFormerAlive(former, newer, now, times);
    return verdict;
}

}
