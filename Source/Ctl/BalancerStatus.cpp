#include "Ctl/BalancerStatus.h"

#include "Settings/SectionReader.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

namespace {

    std::string readName(const nlohmann::json& object, const char* key)
    {
        const auto member = object.find(key);
        return member != object.end() && member->is_string() ? member->get<std::string>() : std::string();
    }

}

Result<BalancerStatus> BalancerStatus::parse(std::string_view json)
{
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object())
        return Error { ErrorCode::InvalidArgument, "/status: expected a JSON object" };
    BalancerStatus status;
    status.name = readName(object, "name");
    status.availabilityZone = readName(object, "availability_zone");
    status.state = readName(object, "state");
    const auto version = object.find("configuration_version");
    // The names are printed to the operator's terminal; isName() keeps out control characters.
    if (!isName(status.name) || !isName(status.availabilityZone) || !isName(status.state) || version == object.end()
        || !version->is_number_unsigned())
        return Error { ErrorCode::InvalidArgument,
            "/status: expected name, availability_zone, state and configuration_version" };
    status.configurationVersion = version->get<std::uint64_t>();
    return status;
}

}
