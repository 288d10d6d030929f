#include "Flow/FlowPolicy.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    constexpr auto flowPolicyNames = makeNameTable<FlowPolicy>({
        { FlowPolicy::Protected, "default" },
        { FlowPolicy::Modulo, "modulo" },
        { FlowPolicy::ConsistentHash, "consistent_hash" },
        { FlowPolicy::BoundedLoads, "bounded_loads" },
    });

}

std::string_view nameOf(FlowPolicy policy) { return flowPolicyNames.name(policy); }

Result<FlowPolicy> parseFlowPolicy(std::string_view text)
{
    if (const auto policy = flowPolicyNames.value(text))
        return *policy;
    return Error { ErrorCode::InvalidArgument,
        fmt::format("'{}' is not a flow policy; expected default, modulo, consistent_hash or bounded_loads", text) };
}

}
