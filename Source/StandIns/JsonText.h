#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Net/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// What the admin doors of the stand-ins share.

// Milliseconds of CLOCK_MONOTONIC, so that processes of one machine can compare their times.
std::int64_t monotonicMilliseconds(TimePoint);

// Reads a JSON object or array; fails with InvalidArgument, never by an exception.
Result<nlohmann::json> parseJson(std::string_view text);

HttpResponse jsonAnswer(const nlohmann::json&);
// An empty 200, or a 400 that says what was wrong.
HttpResponse answerTo(const Result<void>&);
HttpResponse notFoundAnswer();

}
