#include "Balancer/BalancerInstanceText.h"

#include <fmt/format.h>

#include <charconv>

namespace wisteriadock {

Result<std::uint64_t> readNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return Error { ErrorCode::InvalidArgument, fmt::format("\"{}\" is not a number", text.substr(0, 32)) };
    return value;
}

std::string writeInstance(const BalancerInstance& instance)
{
    return fmt::format("{}-{}", instance.id.value, instance.incarnation);
}

Result<BalancerInstance> readInstance(std::string_view text)
{
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos)
        return Error { ErrorCode::InvalidArgument,
            fmt::format("\"{}\" is not a balancer instance", text.substr(0, 32)) };
    BOOST_OUTCOME_TRY(id, readNumber(text.substr(0, dash)));
    BOOST_OUTCOME_TRY(incarnation, readNumber(text.substr(dash + 1)));
    return BalancerInstance { BalancerId { static_cast<std::uint32_t>(id) }, incarnation };
}

std::string writeToken(const ForwardToken& token)
{
    return fmt::format("{}-{}", writeInstance(token.entry), token.number);
}

Result<ForwardToken> readToken(std::string_view text)
{
    const std::size_t dash = text.rfind('-');
    if (dash == std::string_view::npos)
        return Error { ErrorCode::InvalidArgument, fmt::format("\"{}\" is not an attempt token", text.substr(0, 32)) };
    BOOST_OUTCOME_TRY(entry, readInstance(text.substr(0, dash)));
    BOOST_OUTCOME_TRY(number, readNumber(text.substr(dash + 1)));
    return ForwardToken { entry, number };
}

}
