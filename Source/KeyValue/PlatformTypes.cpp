#include "KeyValue/PlatformTypes.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

#include <charconv>

namespace wisteriadock {

namespace {

    constexpr auto vmStateNames = makeNameTable<VmState>({
        { VmState::Live, "live" },
        { VmState::Leaving, "leaving" },
    });

    // The revision precedes the key in the text, so that no key can be mistaken for it.
    constexpr std::string_view conflictPrefix = "current revision ";

}

Error conflictError(std::string_view key, std::uint64_t expected, std::uint64_t current)
{
    return { ErrorCode::Conflict,
        fmt::format("{}{} of key '{}', expected {}", conflictPrefix, current, key, expected) };
}

std::optional<std::uint64_t> currentRevisionOf(const Error& error)
{
    const std::string_view detail = error.detail;
    if (error.code != ErrorCode::Conflict || !detail.starts_with(conflictPrefix))
        return std::nullopt;
    const std::string_view digits = detail.substr(conflictPrefix.size());
    std::uint64_t revision = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), revision).ec != std::errc())
        return std::nullopt;
    return revision;
}

std::string_view nameOf(VmState state) { return vmStateNames.name(state); }

std::optional<VmState> vmStateOf(std::string_view name) { return vmStateNames.value(name); }

}
