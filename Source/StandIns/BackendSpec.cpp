#include "StandIns/BackendSpec.h"

#include "Core/ListenAddress.h"
#include "StandIns/FlagText.h"

#include <fmt/format.h>

#include <charconv>

namespace wisteriadock {

namespace {

    constexpr std::size_t fieldCount = 6;

    Result<std::uint32_t> parseCount(std::string_view field, std::string_view text)
    {
        std::uint32_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value == 0)
            return Error { ErrorCode::InvalidArgument,
                fmt::format("{} '{}'; expected a whole number above 0", field, text) };
        return value;
    }

}

Result<BackendSpec> BackendSpec::parse(std::string_view text)
{
    const auto fields = splitText(text, '@');
    if (fields.size() != fieldCount || fields[0].empty() || fields[1].empty())
        return Error { ErrorCode::InvalidArgument,
            fmt::format("'{}' is not a backend server; expected "
                        "NAME@SERVICE@FLOWADDRESS@REQUESTADDRESS@SLOTS@CONNECTIONS",
                text) };
    BOOST_OUTCOME_TRY(flowAddress, parseListenAddress(fields[2]));
    BOOST_OUTCOME_TRY(requestAddress, parseListenAddress(fields[3]));
    BOOST_OUTCOME_TRY(slots, parseCount("slots", fields[4]));
    BOOST_OUTCOME_TRY(connections, parseCount("connections", fields[5]));
    return BackendSpec {
        .name = std::string(fields[0]),
        .id = backendServerIdOf(fields[0]),
        .serviceName = std::string(fields[1]),
        .service = serviceIdOf(fields[1]),
        .flowAddress = flowAddress,
        .requestAddress = requestAddress,
        .slots = slots,
        .connections = connections,
    };
}

}
