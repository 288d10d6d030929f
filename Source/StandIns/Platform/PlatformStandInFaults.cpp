#include "StandIns/Platform/PlatformStandInFaults.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    constexpr auto outageModeNames = makeNameTable<OutageMode>({
        { OutageMode::Up, "up" },
        { OutageMode::Unavailable, "unavailable" },
        { OutageMode::Refuse, "refuse" },
        { OutageMode::Reset, "reset" },
    });

    Result<OutageMode> outageModeField(const Json& object)
    {
        BOOST_OUTCOME_TRY(name, textField(object, "down"));
        if (const auto mode = outageModeNames.value(name))
            return *mode;
        return Error { ErrorCode::InvalidArgument,
            fmt::format("field 'down': expected up, unavailable, refuse or reset, not '{}'", name) };
    }

    Error badLoseAnswers(std::string_view found)
    {
        return { ErrorCode::InvalidArgument,
            fmt::format("field 'lose_answers': expected an object of names of calls and counts, not {}", found) };
    }

    Result<void> changeLoseAnswers(const Json& counts, PlatformFaults& faults)
    {
        if (!counts.is_object())
            return badLoseAnswers(counts.type_name());
        for (const auto& [name, value] : counts.items()) {
            const auto call = platformCallOf(name);
            if (!call)
                return badLoseAnswers("'" + name + "'");
            BOOST_OUTCOME_TRY(count, unsignedField(counts, name.c_str()));
            faults.loseAnswers.at(static_cast<std::size_t>(*call)) = count;
        }
        return boost::outcome_v2::success();
    }

}

std::string_view nameOf(OutageMode mode) { return outageModeNames.name(mode); }

bool PlatformFaults::consumeLostAnswer(PlatformCall call)
{
    std::uint64_t& remaining = loseAnswers.at(static_cast<std::size_t>(call));
    if (remaining == 0)
        return false;
    --remaining;
    ++answersLost;
    return true;
}

Json PlatformFaults::toJson() const
{
    Json counts = Json::object();
    for (std::size_t i = 0; i < platformCallKinds; ++i)
        counts[std::string(nameOf(static_cast<PlatformCall>(i)))] = loseAnswers.at(i);
    return { { "down", nameOf(outage) }, { "slow_ms", callDelay.count() }, { "lose_answers", std::move(counts) } };
}

Result<void> PlatformFaults::change(const Json& object)
{
    PlatformFaults changed = *this;
    for (const auto& [name, value] : object.items()) {
        if (name == "down") {
            BOOST_OUTCOME_TRY(mode, outageModeField(object));
            changed.outage = mode;
        } else if (name == "slow_ms") {
            BOOST_OUTCOME_TRY(time, millisecondsField(object, "slow_ms"));
            changed.callDelay = time;
        } else if (name == "lose_answers") {
            BOOST_OUTCOME_TRYV(changeLoseAnswers(value, changed));
        } else {
            return Error { ErrorCode::InvalidArgument,
                fmt::format("field '{}': expected down, slow_ms or lose_answers", name) };
        }
    }
    *this = changed;
    return boost::outcome_v2::success();
}

}
