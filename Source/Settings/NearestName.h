#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The number of characters to insert, remove or replace to turn one text into the other (Levenshtein distance).
std::size_t editDistance(std::string_view first, std::string_view second);

// The known name with the least edit distance, to help with a misspelt one; the first of equals, empty if there is
// none.
std::string_view nearestName(std::string_view name, const std::vector<std::string_view>& known);

}
