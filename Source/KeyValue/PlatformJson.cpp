#include "KeyValue/PlatformJson.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    Error fieldError(const char* name, std::string_view expected)
    {
        return { ErrorCode::InvalidArgument, fmt::format("field '{}': expected {}", name, expected) };
    }

    const Json* find(const Json& object, const char* name)
    {
        const auto field = object.find(name);
        return field == object.end() || field->is_null() ? nullptr : &*field;
    }

    Json toJson(const Vm& vm)
    {
        return {
            { "name", vm.name },
            { "availability_zone", vm.availabilityZone },
            { "peer_address", vm.peerAddress },
            { "state", nameOf(vm.state) },
        };
    }

    Result<Vm> vmOfJson(const Json& object)
    {
        if (!object.is_object())
            return fieldError("vms", "a list of objects");
        BOOST_OUTCOME_TRY(name, textField(object, "name"));
        BOOST_OUTCOME_TRY(availabilityZone, textField(object, "availability_zone"));
        BOOST_OUTCOME_TRY(peerAddress, textField(object, "peer_address"));
        BOOST_OUTCOME_TRY(stateName, textField(object, "state"));
        const auto state = vmStateOf(stateName);
        if (!state)
            return fieldError("state", fmt::format("live or leaving, not '{}'", stateName));
        return Vm { name, availabilityZone, peerAddress, *state };
    }

}

Result<Json> parseJsonObject(std::string_view text)
{
    Json object = Json::parse(text, nullptr, false);
    if (!object.is_object())
        return Error { ErrorCode::InvalidArgument,
            fmt::format("body of {} bytes: expected a JSON object", text.size()) };
    return object;
}

Result<std::string> toText(const Json& json)
{
    try {
        return json.dump();
    } catch (const Json::exception&) {
        return Error { ErrorCode::InvalidArgument, "key or value: expected UTF-8 text" };
    }
}

Result<std::uint64_t> unsignedField(const Json& object, const char* name)
{
    const Json* field = find(object, name);
    if (!field || !field->is_number_unsigned())
        return fieldError(name, "a whole number of 0 or more");
    return field->get<std::uint64_t>();
}

Result<std::optional<std::uint64_t>> optionalUnsignedField(const Json& object, const char* name)
{
    if (!find(object, name))
        return std::optional<std::uint64_t>();
    BOOST_OUTCOME_TRY(number, unsignedField(object, name));
    return std::optional<std::uint64_t>(number);
}

Result<std::chrono::milliseconds> millisecondsField(const Json& object, const char* name)
{
    BOOST_OUTCOME_TRY(number, unsignedField(object, name));
    if (number > static_cast<std::uint64_t>(platformTimeLimit.count()))
        return fieldError(name, fmt::format("at most {} ms, not {}", platformTimeLimit.count(), number));
    return std::chrono::milliseconds(number);
}

Result<std::string> textField(const Json& object, const char* name)
{
    const Json* field = find(object, name);
    if (!field || !field->is_string())
        return fieldError(name, "a string");
    return field->get<std::string>();
}

Json toJson(const PlatformEntry& entry)
{
    return { { "key", entry.key }, { "value", entry.value }, { "revision", entry.revision } };
}

Json toJson(const PlatformLease& lease)
{
    return { { "lease", lease.id }, { "time_to_live_ms", lease.timeToLive.count() } };
}

Json toJson(const std::vector<Vm>& vms)
{
    Json list = Json::array();
    for (const Vm& vm : vms)
        list.push_back(toJson(vm));
    return { { "vms", std::move(list) } };
}

Json revisionToJson(std::uint64_t revision) { return { { "revision", revision } }; }

Result<PlatformEntry> entryOfJson(const Json& object)
{
    BOOST_OUTCOME_TRY(key, textField(object, "key"));
    BOOST_OUTCOME_TRY(value, textField(object, "value"));
    BOOST_OUTCOME_TRY(revision, unsignedField(object, "revision"));
    return PlatformEntry { std::move(key), std::move(value), revision };
}

Result<PlatformLease> leaseOfJson(const Json& object)
{
    BOOST_OUTCOME_TRY(id, unsignedField(object, "lease"));
    BOOST_OUTCOME_TRY(timeToLive, millisecondsField(object, "time_to_live_ms"));
    return PlatformLease { id, timeToLive };
}

Result<std::vector<Vm>> vmsOfJson(const Json& object)
{
    const Json* list = find(object, "vms");
    if (!list || !list->is_array())
        return fieldError("vms", "a list");
    std::vector<Vm> vms;
    for (const Json& element : *list) {
        BOOST_OUTCOME_TRY(vm, vmOfJson(element));
        vms.push_back(std::move(vm));
    }
    return vms;
}

Result<std::uint64_t> revisionOfJson(const Json& object) { return unsignedField(object, "revision"); }

}
