#include "StandIns/FlagText.h"

#include <fmt/format.h>

#include <cmath>
#include <cstdlib>
#include <string>

namespace wisteriadock {

std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

Result<double> parseNumber(std::string_view text)
{
    const std::string copy(text);
    char* end = nullptr;
    const double value = std::strtod(copy.c_str(), &end);
    if (copy.empty() || end != copy.c_str() + copy.size() || !std::isfinite(value))
        return Error { ErrorCode::InvalidArgument, fmt::format("'{}' is not a number", text) };
    return value;
}

}
