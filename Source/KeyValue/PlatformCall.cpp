#include "KeyValue/PlatformCall.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto callNames = makeNameTable<PlatformCall>({
        { PlatformCall::Get, "get" },
        { PlatformCall::CompareAndSwap, "compare_and_swap" },
        { PlatformCall::Watch, "watch" },
        { PlatformCall::GrantLease, "grant_lease" },
        { PlatformCall::KeepAlive, "keep_alive" },
        { PlatformCall::ListVms, "list_vms" },
    });
    static_assert(callNames.rows().size() == platformCallKinds);

    constexpr std::string_view pathPrefix = "/v1/";

}

std::string_view nameOf(PlatformCall call) { return callNames.name(call); }

std::optional<PlatformCall> platformCallOf(std::string_view name) { return callNames.value(name); }

std::string pathOf(PlatformCall call) { return std::string(pathPrefix) + std::string(nameOf(call)); }

std::optional<PlatformCall> platformCallOfPath(std::string_view path)
{
    if (!path.starts_with(pathPrefix))
        return std::nullopt;
    return platformCallOf(path.substr(pathPrefix.size()));
}

bool isWrite(PlatformCall call)
{
    switch (call) {
    case PlatformCall::CompareAndSwap:
    case PlatformCall::GrantLease:
    case PlatformCall::KeepAlive:
        return true;
    case PlatformCall::Get:
    case PlatformCall::Watch:
    case PlatformCall::ListVms:
        return false;
    }
    return true;
}

}
