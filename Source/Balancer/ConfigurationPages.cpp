#include "Balancer/ConfigurationPages.h"

#include "Configuration/ConfigurationContent.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <vector>

namespace wisteriadock {

namespace {

    constexpr std::string_view jsonType = "application/json";
    constexpr std::string_view textType = "text/plain; charset=utf-8";

    HttpResponse answer(std::string_view type, std::string body)
    {
        return { .status = 200, .headers = { { "content-type", std::string(type) } }, .body = std::move(body) };
    }

    HttpResponse notFound(std::string body)
    {
        return { .status = 404, .headers = { { "content-type", std::string(textType) } }, .body = std::move(body) };
    }

    HttpResponse renderFull(const ConfigurationVersion& version)
    {
        const nlohmann::json page {
            { "version", version.head.applied.version },
            { "hash", version.head.applied.contentHash },
            { "text", version.text },
        };
        return answer(jsonType, page.dump());
    }

    HttpResponse renderPart(std::string_view key, const ConfigurationVersion& version)
    {
        const std::vector<std::string> parts = splitContent(version.text);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (key == contentPartKey(version.head.applied.contentHash, i))
                return answer(textType, parts[i]);
        }
        return notFound("another version is in force\n");
    }

}

std::string configurationPathOf(std::string_view key) { return fmt::format("/{}", key); }

std::optional<HttpResponse> renderConfiguration(
    std::string_view path, const std::optional<ConfigurationVersion>& inForce)
{
    const bool isPart = path.starts_with(configurationPathOf(configurationContentPrefix));
    const bool isHead = path == configurationPathOf(configurationHeadKey);
    if (!isPart && !isHead && path != "/configuration")
        return std::nullopt;
    if (!inForce)
        return notFound("no configuration is in force\n");
    if (isHead)
        return answer(jsonType, inForce->head.toJson());
    return isPart ? renderPart(path.substr(1), *inForce) : renderFull(*inForce);
}

}
