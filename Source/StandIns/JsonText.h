#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Net/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// JSON functions shared by the admin interfaces of the stand-ins.

// Converts to milliseconds of CLOCK_MONOTONIC, which all processes of a machine share.
std::int64_t monotonicMilliseconds(TimePoint);

// Parses a JSON object or array. Fails with InvalidArgument and throws no exception.
Result<nlohmann::json> parseJson(std::string_view text);

HttpResponse jsonAnswer(const nlohmann::json&);
// Returns a response of status 200 with an empty object, or of status 400 with the error.
HttpResponse answerTo(const Result<void>&);
HttpResponse notFoundAnswer();

}
