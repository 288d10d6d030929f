#include "Membership/MemberRecord.h"

namespace wisteriadock {

namespace {

    constexpr std::size_t maxNameBytes = 64;

    RowStatus statusOf(const MemberRecord& record)
    {
        switch (record.member.state) {
        case MemberState::Joining:
            return RowStatus::Joining;
        case MemberState::Serving:
            return RowStatus::Serving;
        case MemberState::Detached:
            return RowStatus::Detached;
        case MemberState::Leaving:
            return RowStatus::Leaving;
        case MemberState::Dead:
            break;
        }
        return record.hasLeft ? RowStatus::Left : RowStatus::Dead;
    }

}

bool isDeadOrLeft(const MemberRow& row)
{
    return row.status == static_cast<std::uint8_t>(RowStatus::Dead)
        || row.status == static_cast<std::uint8_t>(RowStatus::Left);
}

bool isWellFormed(const MemberRow& row)
{
    if (row.id == 0 || row.status > static_cast<std::uint8_t>(RowStatus::Detached) || row.details.size() > 1)
        return false;
    return row.details.empty()
        || (row.details[0].name.size() <= maxNameBytes && row.details[0].availabilityZone.size() <= maxNameBytes);
}

MemberState stateOf(const MemberRow& row)
{
    switch (static_cast<RowStatus>(row.status)) {
    case RowStatus::Joining:
        return MemberState::Joining;
    case RowStatus::Serving:
        return MemberState::Serving;
    case RowStatus::Detached:
        return MemberState::Detached;
    case RowStatus::Leaving:
        return MemberState::Leaving;
    case RowStatus::Dead:
    case RowStatus::Left:
        break;
    }
    return MemberState::Dead;
}

Member memberOf(const MemberRow& row)
{
    const MemberDetails& details = row.details[0];
    return { BalancerId { row.id }, details.name, details.availabilityZone, { details.peerHost, details.peerPort },
        { details.flowHost, details.flowPort }, { details.requestHost, details.requestPort }, row.incarnation,
        stateOf(row), row.configurationVersion, details.linkMegabits };
}

MemberRow rowOf(const MemberRecord& record, bool withDetails)
{
    const Member& member = record.member;
    MemberRow row { member.id.value, member.incarnation, record.sequence, static_cast<std::uint8_t>(statusOf(record)),
        record.suspected, member.configurationVersion, {} };
    if (withDetails) {
        row.details.push_back({ member.name, member.availabilityZone, member.peerAddress.address,
            member.peerAddress.port, member.flowAddress.address, member.flowAddress.port, member.requestAddress.address,
            member.requestAddress.port, member.linkMegabits });
    }
    return row;
}

}
