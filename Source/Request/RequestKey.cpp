#include "Request/RequestKey.h"

#include "Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace wisteriadock {

namespace {

    constexpr std::size_t maxKeyBytes = 200;
    constexpr std::size_t ticketRandomDigits = 32;
    constexpr std::uint64_t highSeed = 11;
    constexpr std::uint64_t lowSeed = 12;
    constexpr std::uint64_t homeSeed = 13;

    std::string_view withoutQuotes(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            return text.substr(1, text.size() - 2);
        return text;
    }

    // Visible ASCII without the characters that separate or quote header values.
    bool isKeyCharacter(char character)
    {
        return character > ' ' && character < 0x7f && character != '"' && character != ',' && character != ';'
            && character != '\\';
    }

    bool isHexDigit(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    }

    // Parses "e17.<32 hex digits>"; any other text is not a ticket.
    std::optional<std::uint64_t> readTicketEpoch(std::string_view text)
    {
        const auto dot = text.find('.');
        if (text.empty() || text.front() != 'e' || dot == std::string_view::npos)
            return std::nullopt;
        const std::string_view random = text.substr(dot + 1);
        if (random.size() != ticketRandomDigits || !std::all_of(random.begin(), random.end(), isHexDigit))
            return std::nullopt;
        std::uint64_t epoch = 0;
        const char* end = text.data() + dot;
        const auto [rest, error] = std::from_chars(text.data() + 1, end, epoch);
        if (error != std::errc() || rest != end || epoch == 0)
            return std::nullopt;
        return epoch;
    }

}

Result<RequestKey> RequestKey::parse(std::string_view text, const std::vector<std::string>& zones)
{
    const std::string_view key = withoutQuotes(text);
    if (key.empty() || key.size() > maxKeyBytes)
        return Error { ErrorCode::InvalidArgument,
            fmt::format("Idempotency-Key has {} characters, expected 1 to {}", key.size(), maxKeyBytes) };
    if (!std::all_of(key.begin(), key.end(), isKeyCharacter))
        return Error { ErrorCode::InvalidArgument,
            "Idempotency-Key holds a character other than visible ASCII without quotes, commas and semicolons" };

    RequestKey result;
    result.digest = { hashString(key, highSeed), hashString(key, lowSeed) };
    const auto dot = key.find('.');
    const auto named
        = dot == std::string_view::npos ? zones.end() : std::find(zones.begin(), zones.end(), key.substr(0, dot));
    if (named == zones.end()) {
        result.homeZone = zones.empty() ? 0 : hashString(key, homeSeed) % zones.size();
        return result;
    }
    result.homeZone = static_cast<std::uint32_t>(named - zones.begin());
    result.issuedEpoch = readTicketEpoch(key.substr(dot + 1)).value_or(0);
    return result;
}

std::string makeTicket(std::string_view zone, std::uint64_t epoch, std::uint64_t high, std::uint64_t low)
{
    return fmt::format("{}.e{}.{:016x}{:016x}", zone, epoch, high, low);
}

}
