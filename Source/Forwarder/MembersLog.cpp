#include "Forwarder/MembersLog.h"

namespace wisteriadock {

namespace {

    constexpr std::string_view metEvent = "met";
    constexpr std::string_view lostEvent = "lost";

    LogLevel levelOf(std::string_view event) { return event == lostEvent ? LogLevel::Warning : LogLevel::Info; }

    std::string_view eventOf(MemberState former, MemberState state)
    {
        if (state == MemberState::Dead)
            return lostEvent;
        return former == MemberState::Dead ? "regained" : "changed";
    }

}

void MembersLog::handleView(const MembersView& view, bool isSettled, TimePoint now)
{
    if (view.isolated != isIsolated_) {
        isIsolated_ = view.isolated;
        log_.write(isIsolated_ ? LogLevel::Warning : LogLevel::Info, "peers", isIsolated_ ? "isolated" : "in_contact",
            Event().add("members", std::uint64_t(view.members.size())), now);
    }
    for (const auto& [event, changes] : changesOf(view, now)) {
        if (event != metEvent || hasLoggedDiscovery_)
            logChanges(event, changes, now);
    }
    tick(view, isSettled, now);
}

MembersLog::Changes MembersLog::changesOf(const MembersView& view, TimePoint now)
{
    Changes changes;
    for (const Member& member : view.members) {
        if (member.id == view.self)
            continue;
        const auto [found, isNew] = knownStates_.try_emplace(member.id, KnownState { member.state, now });
        KnownState& known = found->second;
        if (!isNew && known.state == member.state)
            continue;
        const std::string_view event = isNew ? metEvent : eventOf(known.state, member.state);
        changes[event].push_back({ &member, now - known.since });
        known = { member.state, now };
    }
    std::erase_if(knownStates_, [&](const auto& row) { return !view.find(row.first); });
    return changes;
}

void MembersLog::tick(const MembersView& view, bool isSettled, TimePoint now)
{
    if (hasLoggedDiscovery_ || !startedAt_ || knownStates_.empty())
        return;
    if (!isSettled && now - *startedAt_ < maxDiscoveryTime)
        return;
    hasLoggedDiscovery_ = true;
    log_.write(LogLevel::Info, "peers", "met_many",
        Event()
            .add("members", std::uint64_t(view.members.size()))
            .add("settled", isSettled)
            .add("after_ms", now - *startedAt_),
        now);
}

void MembersLog::logChanges(std::string_view event, const std::vector<Change>& changes, TimePoint now)
{
    if (changes.size() > maxSeparateLines) {
        log_.write(levelOf(event), "peers", "many",
            Event().add("became", event).add("peers", std::uint64_t(changes.size())), now);
        return;
    }
    for (const Change& change : changes)
        log_.write(levelOf(event), "peers", event,
            Event()
                .add("peer", change.member->name)
                .add("peer_zone", change.member->availabilityZone)
                .add("state", nameOf(change.member->state))
                .add("former_for_ms", change.previousStateTime),
            now);
}

}
