#include "Ctl/FlagCheck.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace wisteriadock {

namespace {

    // Abseil handles these itself and does not register them as flags.
    constexpr std::array<std::string_view, 5> usageFlags { "help", "helpfull", "helppackage", "helpshort", "version" };

    bool isUsageFlag(std::string_view name)
    {
        return std::find(usageFlags.begin(), usageFlags.end(), name) != usageFlags.end();
    }

    absl::CommandLineFlag* findFlag(std::string_view name)
    {
        return absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()));
    }

}

std::optional<std::string> findBadFlag(int argc, const char* const* argv)
{
    for (int i = 1; i < argc; ++i) {
        std::string_view word = argv[i];
        if (word == "--")
            break;
        if (word.size() < 2 || word.front() != '-')
            continue;
        word.remove_prefix(word.starts_with("--") ? 2 : 1);
        const auto equals = word.find('=');
        const std::string_view name = word.substr(0, equals);
        if (isUsageFlag(name))
            continue;
        absl::CommandLineFlag* flag = findFlag(name);
        if (!flag && name.starts_with("no"))
            flag = findFlag(name.substr(2));
        if (!flag)
            return fmt::format("unknown flag --{}", name);

        if (flag->IsOfType<bool>() && equals == std::string_view::npos)
            continue;
        if (equals == std::string_view::npos && i + 1 == argc)
            return fmt::format("a value is missing for --{}", name);
        const std::string_view value = equals == std::string_view::npos ? argv[++i] : word.substr(equals + 1);
        std::string error;
        if (!flag->ParseFrom(absl::string_view(value.data(), value.size()), &error))
            return fmt::format("bad value '{}' for --{}", value, name);
    }
    return std::nullopt;
}

}
