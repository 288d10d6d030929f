#pragma once

#include "Core/Error.h"

#include <string_view>
#include <vector>

namespace wisteriadock {

// Splits a text at each separator; empty parts are kept.
std::vector<std::string_view> splitText(std::string_view text, char separator);

// Parses a finite number. Fails with InvalidArgument when the text contains anything else.
Result<double> parseNumber(std::string_view text);

}
