#pragma once

#include "Core/Error.h"

#include <string_view>
#include <vector>

namespace wisteriadock {

// The parts of a text between separators, empty ones included.
std::vector<std::string_view> splitText(std::string_view text, char separator);

// Reads a whole text as a number; fails with InvalidArgument when anything else stands in it.
Result<double> parseNumber(std::string_view text);

}
