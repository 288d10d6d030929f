#include "Configuration/ConfigurationHead.h"

#include "Configuration/ConfigurationContent.h"
#include "Settings/SectionReader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    // Increased on incompatible changes, so that older readers refuse the head.
    constexpr std::uint64_t headFormat = 1;

    Error malformedHead(std::string_view expected)
    {
        return { ErrorCode::InvalidArgument, fmt::format("{}: expected {}", configurationHeadKey, expected) };
    }

    std::optional<std::uint64_t> readNumber(const Json& object, const char* key, std::uint64_t min, std::uint64_t max)
    {
        const auto member = object.find(key);
        if (member == object.end() || !member->is_number_unsigned())
            return std::nullopt;
        const auto value = member->get<std::uint64_t>();
        return value >= min && value <= max ? std::optional(value) : std::nullopt;
    }

    std::string readText(const Json& object, const char* key)
    {
        const auto member = object.find(key);
        return member != object.end() && member->is_string() ? member->get<std::string>() : std::string();
    }

    std::optional<AppliedVersion> readApplied(const Json& object)
    {
        if (!object.is_object())
            return std::nullopt;
        const auto version = readNumber(object, "version", 1, std::numeric_limits<std::uint64_t>::max() - 1);
        AppliedVersion applied { version.value_or(0), readText(object, "apply_id"), readText(object, "content_hash"),
            readText(object, "author") };
        if (!version || !isName(applied.applyId) || !isContentHash(applied.contentHash)
            || applied.author.size() > maxAuthorLength)
            return std::nullopt;
        return applied;
    }

    Json toJsonObject(const AppliedVersion& applied)
    {
        return { { "version", applied.version }, { "apply_id", applied.applyId },
            { "content_hash", applied.contentHash }, { "author", applied.author } };
    }

    Result<std::vector<AppliedVersion>> readPrevious(const Json& object, std::uint64_t version)
    {
        const auto list = object.find("previous_applies");
        if (list == object.end() || !list->is_array() || list->size() >= maxRecordedApplies)
            return malformedHead(fmt::format("previous_applies, a list of fewer than {} entries", maxRecordedApplies));
        std::vector<AppliedVersion> previous;
        for (const Json& entry : *list) {
            auto applied = readApplied(entry);
            if (!applied || applied->version >= version)
                return malformedHead(
                    "previous_applies with decreasing versions and valid apply ids and content hashes");
            version = applied->version;
            previous.push_back(std::move(*applied));
        }
        return previous;
    }

}

const AppliedVersion* ConfigurationHead::findApply(std::string_view applyId) const
{
    if (applied.applyId == applyId)
        return &applied;
    const auto found = std::find_if(previousApplies.begin(), previousApplies.end(),
        [&](const AppliedVersion& previous) { return previous.applyId == applyId; });
    return found == previousApplies.end() ? nullptr : &*found;
}

const AppliedVersion* ConfigurationHead::successorOf(std::uint64_t version) const
{
    const AppliedVersion* successor = applied.version > version ? &applied : nullptr;
    for (const AppliedVersion& previous : previousApplies) {
        if (previous.version > version)
            successor = &previous;
    }
    return successor;
}

bool ConfigurationHead::recordsAllSince(std::uint64_t version) const
{
    const bool isWholeHistory = previousApplies.size() + 1 < maxRecordedApplies;
    const std::uint64_t oldest = previousApplies.empty() ? applied.version : previousApplies.back().version;
    return isWholeHistory || oldest <= version;
}

std::vector<AppliedVersion> ConfigurationHead::appliesForNext() const
{
    std::vector<AppliedVersion> applies { applied };
    const std::size_t kept = std::min(previousApplies.size(), maxRecordedApplies - 2);
    applies.insert(applies.end(), previousApplies.begin(), previousApplies.begin() + static_cast<std::ptrdiff_t>(kept));
    return applies;
}

std::string ConfigurationHead::toJson() const
{
    Json object = toJsonObject(applied);
    object["format"] = headFormat;
    object["base_version"] = baseVersion;
    object["content_bytes"] = contentBytes;
    object["content_parts"] = contentParts;
    Json previous = Json::array();
    for (const AppliedVersion& apply : previousApplies)
        previous.push_back(toJsonObject(apply));
    object["previous_applies"] = std::move(previous);
    return object.dump(-1, ' ', true, Json::error_handler_t::replace);
}

Result<ConfigurationHead> ConfigurationHead::parse(std::string_view json)
{
    const Json object = Json::parse(json, nullptr, false);
    if (!object.is_object())
        return malformedHead("a JSON object");
    if (!readNumber(object, "format", headFormat, headFormat))
        return malformedHead(fmt::format("format {}; newer formats need a newer program", headFormat));
    auto applied = readApplied(object);
    if (!applied)
        return malformedHead("a version above 0, an apply_id and a content_hash");
    const auto base = readNumber(object, "base_version", 0, applied->version - 1);
    const auto bytes = readNumber(object, "content_bytes", 0, maxConfigurationBytes);
    if (!base || !bytes)
        return malformedHead("a base_version below the version, and content_bytes within the limit");
    const auto parts = readNumber(object, "content_parts", 1, maxContentParts);
    if (!parts || *parts != contentPartCount(*bytes))
        return malformedHead("content_parts to match content_bytes");
    BOOST_OUTCOME_TRY(previous, readPrevious(object, applied->version));
    return ConfigurationHead { std::move(*applied), *base, *bytes, *parts, std::move(previous) };
}

}
