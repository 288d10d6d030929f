#include "Settings/NearestName.h"

#include <algorithm>
#include <numeric>

namespace wisteriadock {

std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < first.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < second.size(); ++j) {
            const std::size_t replaced = diagonal + (first[i] == second[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
        }
    }
    return row.back();
}

std::string_view nearestName(std::string_view name, const std::vector<std::string_view>& known)
{
    const auto nearest = std::min_element(known.begin(), known.end(),
        [&](std::string_view a, std::string_view b) { return editDistance(name, a) < editDistance(name, b); });
    return nearest == known.end() ? std::string_view() : *nearest;
}

}
