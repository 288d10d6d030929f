#include "StandIns/JsonText.h"

#include <chrono>

namespace wisteriadock {

std::int64_t monotonicMilliseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

Result<nlohmann::json> parseJson(std::string_view text)
{
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_structured())
        return Error { ErrorCode::InvalidArgument, "the body is not a JSON object or array" };
    return parsed;
}

HttpResponse jsonAnswer(const nlohmann::json& body)
{
    return { 200, { { "content-type", "application/json" } }, body.dump() };
}

HttpResponse answerTo(const Result<void>& result)
{
    if (result)
        return jsonAnswer(nlohmann::json::object());
    HttpResponse response = jsonAnswer({ { "error", result.error().toString() } });
    response.status = 400;
    return response;
}

HttpResponse notFoundAnswer()
{
    HttpResponse response = jsonAnswer({ { "error", "no such path or method" } });
    response.status = 404;
    return response;
}

}
