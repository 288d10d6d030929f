#include "Experiment/AdminClient.h"

#include <fmt/format.h>

#include <optional>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto callTimeout = 5s;

    Error failure(const Endpoint& server, const HttpRequest& request, const std::string& why)
    {
        return { ErrorCode::Unavailable,
            fmt::format("{} {} at {}: {}", request.method, request.path, server.toString(), why) };
    }

}

Result<nlohmann::json> AdminClient::get(const Endpoint& server, const std::string& path)
{
    HttpRequest request;
    request.path = path;
    return call(server, std::move(request));
}

Result<nlohmann::json> AdminClient::post(const Endpoint& server, const std::string& path, const nlohmann::json& body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    return call(server, std::move(request));
}

Result<nlohmann::json> AdminClient::call(const Endpoint& server, HttpRequest request)
{
    auto& client = clients_[server];
    if (!client)
        client = std::make_unique<Http2Client>(loop_.context(), server);

    request.authority = server.toString();
    // Shared, because the response may arrive after a signal interrupted the wait.
    const auto outcome = std::make_shared<std::optional<HttpOutcome>>();
    client->send(request, Clock::now() + callTimeout, [outcome](HttpOutcome ended) { *outcome = std::move(ended); });
    BOOST_OUTCOME_TRYV(loop_.waitUntil([&] { return outcome->has_value(); }, 2 * callTimeout, request.path));

    if (!outcome->value())
        return failure(server, request, outcome->value().error().detail);
    const HttpResponse& response = outcome->value().value();
    constexpr int ok = 200;
    if (response.status != ok)
        return failure(server, request, fmt::format("status {} {}", response.status, response.body));
    if (response.body.empty())
        return nlohmann::json::object();
    auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_discarded())
        return failure(server, request, "the response is not JSON");
    return body;
}

}
