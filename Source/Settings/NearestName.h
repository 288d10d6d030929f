#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Returns the Levenshtein distance: the number of insertions, deletions and replacements between two texts.
std::size_t editDistance(std::string_view first, std::string_view second);

// Returns the known name with the least edit distance, as a suggestion for a misspelt name. Of equally near names the
// first one wins; empty if there are no known names.
std::string_view nearestName(std::string_view name, const std::vector<std::string_view>& known);

}
